//! Forwards the events of a stream as they arrive, and resumes it at another engine where the route allows it.

use {
    crate::{
        CallerDialect, EventSplitter, PieceSender, ReservedSlot, ResumedSoftware, SlotWait,
        StartedStream, StreamFlow, StreamStart, UpstreamAnswer, UpstreamDialect,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    kernel::{ResultCode, steady_clock},
    policy::{CallVerdict, RepeatRule, UpstreamRecord},
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::time,
};

/// A resumable stream that pauses for this many times its target resumes at another engine, if one has a free slot. An
/// engine whose memory is full pauses a stream and continues it later.
const SILENCE_FACTOR: u32 = 4;
/// How long the call of a silent stream is kept while the engine that it resumes at may still refuse it: some round trips, and
/// shorter than two engines may work on one stream.
const REFUSAL_WAIT: Duration = Duration::from_millis(200);
/// How long to wait for a slot to resume a broken stream: callers leave a silent stream after two seconds or more.
const RESUME_WAIT: Duration = Duration::from_millis(1_200);

/// Forwards one stream from an engine to its caller.
pub struct StreamPump<D: UpstreamDialect> {
    answer: UpstreamAnswer,
    first: Option<Bytes>,
    flow: StreamFlow<D>,
    /// Whether no call can name the last event, so that the stream can't resume.
    has_unfit_id: bool,
    last_id: Option<Arc<str>>,
    sender: PieceSender,
    splitter: EventSplitter,
}

enum PumpStep {
    CallerGone,
    /// The connection broke, or the stream ended in the middle of an event.
    Cut,
    Ended,
    /// The deadline of the request has passed.
    Expired,
    Piece(Bytes),
    Silent,
}

impl<D: CallerDialect + UpstreamDialect> StreamPump<D> {
    /// A stream whose first events have arrived.
    pub fn new(flow: StreamFlow<D>, stream: StartedStream, sender: PieceSender) -> Self {
        let mut flow = flow;
        flow.software = Some(stream.answer.call.upstream.software.clone());
        flow.request.trace.note_piece();
        flow.gap_since = steady_clock::now();
        let has_unfit_id = stream
            .first
            .as_ref()
            .is_some_and(|batch| batch.has_unfit_id);
        let last_id = stream
            .first
            .as_ref()
            .and_then(|batch| batch.last_id.clone());
        Self {
            answer: stream.answer,
            first: stream.first.map(|batch| batch.bytes),
            flow,
            has_unfit_id,
            last_id,
            sender,
            splitter: stream.splitter,
        }
    }

    /// Forwards the stream until it ends, breaks or its caller leaves.
    pub async fn run(mut self) {
        if let Some(first) = self.first.take()
            && self.sender.send(first).await.is_err()
        {
            return;
        }
        loop {
            match self.step().await {
                PumpStep::CallerGone => return,
                PumpStep::Ended => return self.close(),
                PumpStep::Piece(bytes) => {
                    self.flow.gap_since = steady_clock::now();
                    self.flow.request.trace.note_piece();
                    if self.sender.send(bytes).await.is_err() {
                        return;
                    }
                }
                step @ (PumpStep::Cut | PumpStep::Expired) => {
                    if matches!(step, PumpStep::Cut) {
                        let core = &self.flow.core;
                        core.crashes
                            .note_loss(&self.flow.request, &self.answer.call, true);
                    }
                    match self.resume().await {
                        Some(pump) => self = pump,
                        None => return,
                    }
                }
                PumpStep::Silent => {
                    let Some(slot) = self.other_slot().await else {
                        continue;
                    };
                    if !self.flow.reserve_retry() {
                        continue;
                    }
                    match self.leave(slot).await {
                        Some(pump) => self = pump,
                        None => return,
                    }
                }
            }
        }
    }

    fn close(mut self) {
        if let Some(place) = self.flow.place.take() {
            place.close(true);
        }
        self.flow.request.trace.end(ResultCode::Answered);
        if self.answer.is_framed() {
            self.flow.core.crashes.note_answered(&self.flow.request);
        }
        let held = steady_clock::elapsed(self.flow.slot_reserved_at);
        self.flow.core.note_slot_time(&self.flow.service, held);
        self.flow.core.note_answer_time(&self.flow.route.work, held);
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
        self.sender.end();
    }

    /// A slot at another engine, if one is free now.
    async fn other_slot(&self) -> Option<ReservedSlot<D>> {
        tokio::select! {
            () = self.sender.closed() => None,
            slot = self.flow.find_slot(SlotWait::until(steady_clock::now())) => slot.ok(),
        }
    }

    /// Resumes the stream at another engine after the last complete event. `None` when that is not allowed or failed;
    /// the caller's connection is then cut.
    async fn resume(self) -> Option<Self> {
        let Self {
            answer,
            mut flow,
            has_unfit_id,
            last_id,
            sender,
            ..
        } = self;
        let broken = answer.call.upstream.clone();
        note_cut(&flow, &broken, last_id.as_deref());
        drop(flow.place.take());
        drop_call(answer);
        if has_unfit_id {
            end_cut(&flow, sender);
            return None;
        }
        Self::resume_after(flow, &broken, last_id, sender).await
    }

    /// Resumes a broken stream where a slot is found in time.
    async fn resume_after(
        mut flow: StreamFlow<D>,
        broken: &UpstreamRecord,
        last_id: Option<Arc<str>>,
        sender: PieceSender,
    ) -> Option<Self> {
        let until = steady_clock::now() + RESUME_WAIT;
        if flow.route.repeat == RepeatRule::Resumable && flow.can_continue() {
            let started = tokio::select! {
                () = sender.closed() => return None,
                started = flow.start(last_id.clone(), None, SlotWait::until(until)) => started,
            };
            if let Ok(StreamStart::Started(stream)) = started {
                return Self::go_on(flow, *stream, broken, last_id, sender).await;
            }
        }
        end_cut(&flow, sender);
        None
    }

    /// Leaves a silent stream for a slot at another engine. Its call is kept for a moment, so that it goes on if the other
    /// engine refuses. `None` when the caller's connection has ended.
    async fn leave(self, slot: ReservedSlot<D>) -> Option<Self> {
        let Self {
            answer,
            mut flow,
            last_id,
            sender,
            splitter,
            ..
        } = self;
        let silent = answer.call.upstream.clone();
        note_cut(&flow, &silent, last_id.as_deref());
        let runs = flow.runs();
        let mut place = flow.place.take();
        let mut kept = Some(answer);
        let wait = SlotWait::until(steady_clock::now());
        let started = {
            let mut starting = pin!(flow.start(last_id.clone(), Some(slot), wait));
            let early = tokio::select! {
                () = sender.closed() => return None,
                early = time::timeout(REFUSAL_WAIT, starting.as_mut()) => early,
            };
            match early {
                Ok(started) => started,
                Err(_) => {
                    drop(place.take());
                    kept.take().into_iter().for_each(drop_call);
                    tokio::select! {
                        () = sender.closed() => return None,
                        started = starting => started,
                    }
                }
            }
        };
        if let Ok(StreamStart::Started(stream)) = started {
            drop(place);
            kept.into_iter().for_each(drop_call);
            return Self::go_on(flow, *stream, &silent, last_id, sender).await;
        }
        // Two engines must not work on one stream: the other one may have run it.
        let has_run = flow.runs() > runs;
        let (kept, dropped) = match has_run {
            true => (None, kept),
            false => (kept, None),
        };
        dropped.into_iter().for_each(drop_call);
        let Some(answer) = kept else {
            drop(place);
            return Self::resume_after(flow, &silent, last_id, sender).await;
        };
        let trace = &flow.request.trace;
        trace.note(format_args!("stream of {} kept", silent.id));
        flow.place = place;
        Some(Self {
            answer,
            first: None,
            flow,
            has_unfit_id: false,
            last_id,
            sender,
            splitter,
        })
    }

    /// Passes the first events of a resumed stream on. `None` when the caller has left.
    async fn go_on(
        flow: StreamFlow<D>,
        stream: StartedStream,
        broken: &UpstreamRecord,
        last_id: Option<Arc<str>>,
        sender: PieceSender,
    ) -> Option<Self> {
        let software = &stream.answer.call.upstream.software;
        let outcome = ResumedSoftware::new(&broken.software, software);
        flow.core.counts.note_resumed(outcome);
        let trace = &flow.request.trace;
        trace.note(format_args!("goes on at {software}"));
        let mut pump = Self::new(flow, stream, sender);
        pump.last_id = pump.last_id.or(last_id);
        let first = pump.first.take();
        if let Some(first) = first
            && pump.sender.send(first).await.is_err()
        {
            return None;
        }
        Some(pump)
    }

    async fn step(&mut self) -> PumpStep {
        // Counted to the next whole event, however many pieces of it arrive meanwhile.
        let due = time::Instant::now() + self.longest_wait();
        loop {
            let frame = tokio::select! {
                () = self.sender.closed() => return PumpStep::CallerGone,
                frame = time::timeout_at(due, self.answer.body.frame()) => frame,
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
            match self.splitter.push(&data) {
                Ok(Some(batch)) => {
                    if let Some(place) = &self.flow.place {
                        place.note_events(batch.count);
                    }
                    if batch.has_unfit_id || batch.last_id.is_some() {
                        self.has_unfit_id = batch.has_unfit_id;
                        self.last_id = batch.last_id;
                    }
                    return PumpStep::Piece(batch.bytes);
                }
                Ok(None) => {}
                Err(error) => {
                    let trace = &self.flow.request.trace;
                    let engine = &self.answer.call.upstream.id;
                    let place = self.answer.connection.last_place();
                    trace.note(format_args!("{engine} garbled: {error}, {place}"));
                    return PumpStep::Cut;
                }
            }
        }
    }

    /// A stream that may not resume elsewhere is waited for until its deadline: silence alone is no reason to cut it.
    fn longest_wait(&self) -> Duration {
        let left = self.flow.request.left();
        let is_resumable = self.flow.route.repeat == RepeatRule::Resumable && !self.has_unfit_id;
        let may_leave = is_resumable && self.flow.can_continue();
        match self.flow.route.between_events {
            Some(pause) if may_leave => left.min(pause * SILENCE_FACTOR),
            _ => left,
        }
    }
}

fn note_cut<D: UpstreamDialect>(flow: &StreamFlow<D>, broken: &UpstreamRecord, last: Option<&str>) {
    let last = last.unwrap_or("none");
    flow.request.trace.note(format_args!(
        "stream of {} ({}) cut after event {last}",
        broken.id, broken.software
    ));
}

/// Ends a stream that can't go on, so that it does not look complete.
fn end_cut<D: UpstreamDialect>(flow: &StreamFlow<D>, sender: PieceSender) {
    flow.request.trace.end(ResultCode::StreamCut);
    sender.cut();
}

/// Ends a call whose answer is not read any further.
fn drop_call(answer: UpstreamAnswer) {
    answer.call.close(CallVerdict::Lost);
}
