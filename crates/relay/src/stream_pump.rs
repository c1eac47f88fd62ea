//! Passes the events of a stream on as they arrive, and goes on at another engine where the row allows it.

use {
    crate::{
        AnswerCut, BegunStream, CallerDialect, EventSplitter, ReservedPlace, StreamFlow,
        StreamStart, UpstreamAnswer, UpstreamDialect,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    kernel::{ResultCode, steady_clock},
    policy::{CallVerdict, RepeatRule},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time},
};

/// A resumable stream that pauses for so many times its longest pause goes on at another engine, if one has a place. An
/// engine whose memory is full pauses a stream and goes on by itself.
const SILENCE_PAUSES: u32 = 4;
/// How long a place for a broken stream is waited for: callers leave a silent stream after two seconds and more.
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
    pub fn new(flow: StreamFlow<D>, begun: BegunStream, sender: PieceSender) -> Self {
        flow.request.story.piece();
        let last_id = begun.first.as_ref().and_then(|run| run.last_id.clone());
        Self {
            answer: begun.answer,
            first: begun.first.map(|run| run.bytes),
            flow,
            last_id,
            sender,
            splitter: begun.splitter,
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
                    self.flow.request.story.piece();
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
                    let Some(place) = self.other_place().await else {
                        continue;
                    };
                    if !self.flow.pay_ahead() {
                        continue;
                    }
                    match self.resume(Some(place)).await {
                        Some(pump) => self = pump,
                        None => return,
                    }
                }
            }
        }
    }

    fn close(self) {
        self.flow.request.story.end(ResultCode::Answered);
        self.flow.core.crashes.note_answered(&self.flow.request);
        let held = steady_clock::elapsed(self.flow.placed_at);
        self.flow.core.note_place(&self.flow.service, held);
        let UpstreamAnswer {
            call, facts, link, ..
        } = self.answer;
        let key = call.upstream.id.clone();
        call.close(CallVerdict::Answered);
        if !facts.last_on_connection {
            self.flow.core.pool.keep(&key, link, facts.keep);
        }
    }

    /// A place at another engine, if one is free now.
    async fn other_place(&self) -> Option<ReservedPlace<D>> {
        tokio::select! {
            () = self.sender.closed() => None,
            place = self.flow.find_place(steady_clock::now()) => place.ok(),
        }
    }

    /// Goes on at another engine after the last whole event. None when that may not be or did not work; the caller's
    /// connection is cut then.
    async fn resume(self, place: Option<ReservedPlace<D>>) -> Option<Self> {
        let Self {
            answer,
            mut flow,
            last_id,
            sender,
            ..
        } = self;
        let request = flow.request.clone();
        let last = last_id.as_deref().unwrap_or("none");
        request.story.note(format_args!(
            "stream of {} cut after event {last}",
            answer.call.upstream.id
        ));
        answer.call.close(CallVerdict::Lost);
        drop(answer.link);
        drop(answer.body);
        let until = steady_clock::now() + RESUME_WAIT;
        if flow.route.repeat == RepeatRule::Resumable && flow.may_go_on() {
            let started = tokio::select! {
                () = sender.closed() => return None,
                started = flow.start(last_id.clone(), place, until) => started,
            };
            if let Ok(StreamStart::Begun(begun)) = started {
                let mut pump = Self::new(flow, *begun, sender);
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
        request.story.end(ResultCode::StreamCut);
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
                Ok(None) if self.splitter.held() > 0 => return PumpStep::Cut,
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
            Some(pause) if may_leave => left.min(pause * SILENCE_PAUSES),
            _ => left,
        }
    }
}
