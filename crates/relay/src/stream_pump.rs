//! Passes the events of a stream on as they arrive, and goes on at another engine where the row allows it.

use {
    crate::{
        AnswerCut, CallerDialect, EventSplitter, ReservedSlot, StartedStream, StreamFlow,
        StreamStart, UpstreamAnswer, UpstreamDialect,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    kernel::{ResultCode, steady_clock},
    policy::{CallVerdict, RepeatRule},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time},
};

/// A resumable stream that pauses for so many times its longest pause goes on at another engine, if one has a slot. An
/// engine whose memory is full pauses a stream and goes on by itself.
const SILENCE_FACTOR: u32 = 4;
/// How long a slot for a broken stream is waited for: callers leave a silent stream after two seconds and more.
const RESUME_WAIT: Duration = Duration::from_millis(1_200);

/// Where the pieces go.
type PieceSender = mpsc::Sender<Result<Bytes, AnswerCut>>;

/// Moves one stream from an engine to its caller.
pub struct StreamPump<D: UpstreamDialect> {
    answer: UpstreamAnswer,
    first: Option<Bytes>,
    flow: StreamFlow<D>,
    last_id: Option<Arc<str>>,
    sender: PieceSender,
    splitter: EventSplitter,
}

enum PumpStep {
    CallerGone,
    /// The connection broke, or the stream ended in the middle of an event.
    Cut,
    Ended,
    /// The time of the request is over.
    Expired,
    Piece(Bytes),
    Silent,
}

impl<D: CallerDialect + UpstreamDialect> StreamPump<D> {
    /// A stream whose first events have come.
    pub fn new(flow: StreamFlow<D>, stream: StartedStream, sender: PieceSender) -> Self {
        flow.request.trace.note_piece();
        let last_id = stream.first.as_ref().and_then(|run| run.last_id.clone());
        Self {
            answer: stream.answer,
            first: stream.first.map(|run| run.bytes),
            flow,
            last_id,
            sender,
            splitter: stream.splitter,
        }
    }

    /// Moves the stream until it ends, breaks or its caller goes.
    pub async fn run(mut self) {
        if let Some(first) = self.first.take()
            && self.sender.send(Ok(first)).await.is_err()
        {
            return;
        }
        loop {
            match self.step().await {
                PumpStep::CallerGone => return,
                PumpStep::Ended => return self.close(),
                PumpStep::Piece(bytes) => {
                    self.flow.request.trace.note_piece();
                    if self.sender.send(Ok(bytes)).await.is_err() {
                        return;
                    }
                }
                step @ (PumpStep::Cut | PumpStep::Expired) => {
                    if matches!(step, PumpStep::Cut) {
                        let core = &self.flow.core;
                        core.crashes
                            .note_loss(&self.flow.request, &self.answer.call, true);
                    }
                    match self.resume(None).await {
                        Some(pump) => self = pump,
                        None => return,
                    }
                }
                PumpStep::Silent => {
                    let Some(slot) = self.other_slot().await else {
                        continue;
                    };
                    if !self.flow.prepay_retry() {
                        continue;
                    }
                    match self.resume(Some(slot)).await {
                        Some(pump) => self = pump,
                        None => return,
                    }
                }
            }
        }
    }

    fn close(self) {
        self.flow.request.trace.end(ResultCode::Answered);
        self.flow.core.crashes.note_answered(&self.flow.request);
        let held = steady_clock::elapsed(self.flow.slot_reserved_at);
        self.flow.core.note_slot_time(&self.flow.service, held);
        let UpstreamAnswer {
            call,
            facts,
            connection,
            ..
        } = self.answer;
        let key = call.upstream.id.clone();
        call.close(CallVerdict::Answered);
        if !facts.closes_connection {
            self.flow
                .core
                .pool
                .keep(&key, connection, facts.idle_timeout);
        }
    }

    /// A slot at another engine, if one is free now.
    async fn other_slot(&self) -> Option<ReservedSlot<D>> {
        tokio::select! {
            () = self.sender.closed() => None,
            slot = self.flow.find_slot(steady_clock::now()) => slot.ok(),
        }
    }

    /// Goes on at another engine after the last whole event. None when that may not be or did not work; the caller's
    /// connection is cut then.
    async fn resume(self, slot: Option<ReservedSlot<D>>) -> Option<Self> {
        let Self {
            answer,
            mut flow,
            last_id,
            sender,
            ..
        } = self;
        let request = flow.request.clone();
        let last = last_id.as_deref().unwrap_or("none");
        request.trace.note(format_args!(
            "stream of {} cut after event {last}",
            answer.call.upstream.id
        ));
        answer.call.close(CallVerdict::Lost);
        drop(answer.connection);
        drop(answer.body);
        let until = steady_clock::now() + RESUME_WAIT;
        if flow.route.repeat == RepeatRule::Resumable && flow.may_go_on() {
            let started = tokio::select! {
                () = sender.closed() => return None,
                started = flow.start(last_id.clone(), slot, until) => started,
            };
            if let Ok(StreamStart::Started(stream)) = started {
                let mut pump = Self::new(flow, *stream, sender);
                pump.last_id = pump.last_id.or(last_id);
                let first = pump.first.take();
                if let Some(first) = first
                    && pump.sender.send(Ok(first)).await.is_err()
                {
                    return None;
                }
                return Some(pump);
            }
        }
        request.trace.end(ResultCode::StreamCut);
        // The receiver may be gone; then nobody is left to tell.
        let _ = sender.send(Err(AnswerCut)).await;
        None
    }

    async fn step(&mut self) -> PumpStep {
        let wait = self.longest_wait();
        loop {
            let frame = tokio::select! {
                () = self.sender.closed() => return PumpStep::CallerGone,
                frame = time::timeout(wait, self.answer.body.frame()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return PumpStep::Cut,
                Err(_) if self.flow.request.left().is_zero() => return PumpStep::Expired,
                Err(_) => return PumpStep::Silent,
                Ok(None) if self.splitter.pending_bytes() > 0 => return PumpStep::Cut,
                Ok(None) => return PumpStep::Ended,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if let Some(run) = self.splitter.push(&data) {
                self.last_id = run.last_id.or(self.last_id.take());
                return PumpStep::Piece(run.bytes);
            }
        }
    }

    /// A stream that may not go on elsewhere is waited for until its deadline: silence is no reason to end it.
    fn longest_wait(&self) -> Duration {
        let left = self.flow.request.left();
        let may_leave = self.flow.route.repeat == RepeatRule::Resumable && self.flow.may_go_on();
        match self.flow.route.between_events {
            Some(pause) if may_leave => left.min(pause * SILENCE_FACTOR),
            _ => left,
        }
    }
}
