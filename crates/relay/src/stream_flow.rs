//! One request of a model service, up to the first whole event of its stream.

mod prefill;

use {
    crate::{
        CallEnd, CallPlan, CallPurpose, CallerDialect, CallerRequest, ErrorResponse, EventBatch,
        EventSplitter, RelayBody, RelayCore, ReservedSlot, ResourceGuard, SlotFinder, StreamPump,
        UpstreamAnswer, UpstreamDialect, WastedPrefill, WorkRoute,
        plain_flow::promises_not_run,
        prompt_search::find_holders,
        relay_core::{status_code, status_verdict},
        resource_guard::discard,
    },
    bytes::Bytes,
    http::Response,
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    kernel::{ResultCode, ServiceId, UpstreamId, steady_clock},
    policy::{AttemptEnd, CallVerdict, StreamAttempts},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time},
};

/// An answer of an engine that is no stream is a short text.
const MAX_FAILURE_BYTES: usize = 1 << 20;
/// How many pieces wait for a slow caller before the engine's stream is held up.
const PIECE_BUFFER: usize = 8;
/// Waiting for a slot takes at most this share of the row's target. A caller that is told early comes back when places are
/// free again; one that waits longer most often waits in vain, or for an answer that is late.
const SLOT_WAIT_SHARE: f64 = 0.24;

/// A request on its way through the engines of a model service.
pub struct StreamFlow<D: UpstreamDialect> {
    /// What all requests share.
    pub core: Arc<RelayCore<D>>,
    /// Engines that hold the KV cache of its prompt, as far as this instance knows.
    pub holders: Vec<UpstreamId>,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// Its row.
    pub route: Arc<WorkRoute>,
    /// The service.
    pub service: ServiceId,
    /// Engines not to ask again.
    pub tried: Vec<UpstreamId>,
    /// When the last slot was reserved.
    pub slot_reserved_at: Instant,
    /// Its calls so far.
    tries: StreamAttempts,
}

/// A stream whose first whole events have come.
pub struct StartedStream {
    /// The answer; its body goes on.
    pub answer: UpstreamAnswer,
    /// The first whole events; none when the stream ended without one.
    pub first: Option<EventBatch>,
    /// Holds the start of the next event.
    pub splitter: EventSplitter,
}

/// What came of the engines that were asked.
pub enum StreamStart {
    /// A stream.
    Started(Box<StartedStream>),
    /// An answer that is no stream: a failure of the engine's own.
    Other(Response<RelayBody>),
}

enum FirstPiece {
    Cut(ResultCode),
    Ended,
    Events(EventBatch),
}

impl<D: UpstreamDialect> StreamFlow<D> {
    /// When the caller may come back, if it is refused.
    pub fn retry_after(&self) -> Duration {
        let request = &self.request.head.id;
        self.core.retry_after(&self.service, request)
    }

    /// The memory to reserve at an engine, tokens. One that holds the prompt has to have room for the output alone: if more
    /// were reserved it would drop what it holds of other prompts, or of this one, to make room.
    pub fn tokens_at(&self, engine: &UpstreamId) -> u64 {
        let request = &self.request;
        match self.holders.contains(engine) {
            true => request.kv_tokens() - request.prompt_tokens(),
            false => request.kv_tokens(),
        }
    }
}

impl<D: CallerDialect + UpstreamDialect> StreamFlow<D> {
    /// A request that no engine has seen.
    pub fn new(
        core: Arc<RelayCore<D>>,
        request: Arc<CallerRequest>,
        route: Arc<WorkRoute>,
        service: ServiceId,
    ) -> Self {
        let tries = StreamAttempts::new(route.repeat, route.tries);
        Self {
            core,
            holders: Vec::new(),
            slot_reserved_at: steady_clock::now(),
            request,
            route,
            service,
            tried: Vec::new(),
            tries,
        }
    }

    /// Serves the request: the answer's head goes to the caller together with the first event.
    pub async fn run(mut self) -> Result<Response<RelayBody>, ErrorResponse> {
        let until = self.request.since + self.route.first_byte.mul_f64(SLOT_WAIT_SHARE);
        if self.request.head.after.is_some() {
            self.find_holders().await;
        }
        let stream = match self.start(None, None, until).await? {
            StreamStart::Started(stream) => *stream,
            StreamStart::Other(response) => {
                self.request.trace.end(status_code(response.status()));
                return Ok(response);
            }
        };
        self.request.trace.note_first_byte();
        let (sender, receiver) = mpsc::channel(PIECE_BUFFER);
        let mut response = Response::new(RelayBody::pieces(receiver));
        *response.status_mut() = stream.answer.head.status;
        *response.headers_mut() = self
            .core
            .dialect
            .returned_headers(&stream.answer.head.headers);
        tokio::spawn(StreamPump::new(self, stream, sender).run());
        Ok(response)
    }

    /// Asks engines until one streams. `after` is the last event that the caller has, `slot` a slot that is reserved
    /// already; others are waited for until `until`.
    pub async fn start(
        &mut self,
        after: Option<Arc<str>>,
        slot: Option<ReservedSlot<D>>,
        until: Instant,
    ) -> Result<StreamStart, ErrorResponse> {
        let mut last =
            ErrorResponse::with_retry_after(ResultCode::UpstreamMissing, self.retry_after());
        let mut slot = slot;
        loop {
            let slot = match slot.take() {
                Some(slot) => slot,
                None => match self.find_slot(until).await {
                    Ok(slot) => slot,
                    Err(answer) => return Err(last.merge(answer, self.tries.has_run())),
                },
            };
            match self.try_slot(slot, after.clone()).await {
                Ok(start) => return Ok(start),
                Err(answer) => last = last.merge(answer, self.tries.has_run()),
            }
            if !self.may_go_on() {
                return Err(last);
            }
        }
    }

    /// Whether another engine may be asked.
    pub fn may_go_on(&self) -> bool {
        self.tries.can_continue() && !self.request.left().is_zero()
    }

    /// Asks engines which of them hold the prompt already.
    async fn find_holders(&mut self) {
        let prompt = self.request.head.prompt.as_ref();
        let Some(own) = prompt.and_then(|prompt| prompt.parts.last()) else {
            return;
        };
        self.holders = find_holders(&self.core, &self.service, &own.id).await;
        let trace = &self.request.trace;
        trace.note(format_args!("prompt held by {:?}", self.holders));
    }

    async fn first_piece(&self, body: &mut Incoming, splitter: &mut EventSplitter) -> FirstPiece {
        loop {
            let frame = match time::timeout(self.request.left(), body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return FirstPiece::Cut(ResultCode::StreamCut),
                Ok(None) => return FirstPiece::Ended,
                Err(_) => return FirstPiece::Cut(ResultCode::UpstreamSilent),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if let Some(run) = splitter.push(&data) {
                return FirstPiece::Events(run);
            }
        }
    }

    /// Waits for a slot at a decode engine until a time.
    pub async fn find_slot(&self, until: Instant) -> Result<ReservedSlot<D>, ErrorResponse> {
        let table = self.core.routes.load();
        let service = table
            .as_ref()
            .and_then(|table| table.services.get(&self.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let life = engine.and_then(|engine| engine.hold_life);
        SlotFinder::new(self, life).find(until).await
    }

    /// Reads the prompt where the settings say so, and runs the request at its slot.
    async fn try_slot(
        &mut self,
        slot: ReservedSlot<D>,
        after: Option<Arc<str>>,
    ) -> Result<StreamStart, ErrorResponse> {
        let ReservedSlot {
            call,
            guard,
            reserved_until,
            name,
        } = slot;
        self.slot_reserved_at = steady_clock::now();
        let upstream = call.upstream.clone();
        if self.tries.has_run() && !self.prepay_retry() {
            return Err(self.budget_spent());
        }
        let has_prompt = self.holders.contains(&upstream.id);
        let kv = match self.core.settings.load().has_separate_prefill && !has_prompt {
            true => self.prefill_prompt(&upstream.zone).await,
            false => None,
        };
        let (kv, kv_guard) = kv.unzip();
        if !self.core.upstreams.lock().accepts_work(&upstream.id) {
            // It began to leave while the prompt was read; the slot is given back.
            drop(call);
            discard(kv_guard, WastedPrefill::PlaceLeft);
            let trace = &self.request.trace;
            trace.note(format_args!("place {} leaves", upstream.id));
            return Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamMissing,
                self.retry_after(),
            ));
        }
        if !self.may_call() {
            drop(call);
            discard(kv_guard, WastedPrefill::RunRefused);
            return Err(self.budget_spent());
        }
        let purpose = CallPurpose::Run {
            after,
            kv,
            slot: name,
        };
        let plan = CallPlan {
            purpose: &purpose,
            request: &self.request,
            route: &self.route,
            head_timeout: None,
        };
        self.tried.push(upstream.id.clone());
        drop(call);
        let id = upstream.id.clone();
        let end = self.core.call(plan, upstream).await;
        if reserved_until.is_some_and(|until| steady_clock::now() < until) {
            self.note_slot_result(&id, &end, kv_guard.is_some() || has_prompt);
        }
        self.tries.note(match end {
            CallEnd::Answer(_) | CallEnd::Lost(_) => AttemptEnd::Ran,
            CallEnd::Denied(_) => AttemptEnd::Blocked,
            CallEnd::NotRun => AttemptEnd::Refused,
            CallEnd::Unsent => AttemptEnd::Unsent,
        });
        match end {
            CallEnd::Answer(_) => [guard, kv_guard]
                .into_iter()
                .flatten()
                .for_each(ResourceGuard::disarm),
            _ => discard(kv_guard, WastedPrefill::RunRefused),
        }
        match end {
            CallEnd::Answer(answer) => self.take_answer(*answer).await,
            CallEnd::Denied(answer) => Err(answer),
            CallEnd::Lost(code) => Err(ErrorResponse::new(code)),
            CallEnd::NotRun => Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamRefused,
                self.retry_after(),
            )),
            CallEnd::Unsent => Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamMissing,
                self.retry_after(),
            )),
        }
    }

    /// Whether a further call may go out.
    fn may_call(&mut self) -> bool {
        let Self {
            core,
            service,
            tries,
            ..
        } = self;
        let may = tries.allow_call(|| core.take_retry(service));
        if !may {
            self.request.trace.note(format_args!("retry budget spent"));
        }
        may
    }

    /// Tells the table how an engine treated its own reservation; `has_kv` when the request needs a KV cache that may have
    /// gone meanwhile, at another engine or at this one.
    fn note_slot_result(&self, engine: &UpstreamId, end: &CallEnd, has_kv: bool) {
        let mut upstreams = self.core.upstreams.lock();
        match end {
            CallEnd::Answer(_) => upstreams.note_run(engine),
            CallEnd::Denied(_) | CallEnd::Lost(_) | CallEnd::Unsent => {}
            CallEnd::NotRun => upstreams.note_refusal(engine, has_kv, steady_clock::now()),
        }
    }

    fn budget_spent(&self) -> ErrorResponse {
        ErrorResponse::with_retry_after(ResultCode::RetryBudgetSpent, self.retry_after())
    }

    /// Takes the retry for the next call out of the budget ahead; `false` when there is none.
    pub fn prepay_retry(&mut self) -> bool {
        let Self {
            core,
            service,
            tries,
            ..
        } = self;
        let is_paid = tries.reserve_retry(|| core.take_retry(service));
        if !is_paid {
            self.request.trace.note(format_args!("retry budget spent"));
        }
        is_paid
    }

    async fn take_answer(&mut self, answer: UpstreamAnswer) -> Result<StreamStart, ErrorResponse> {
        if !answer.head.status.is_success() {
            return self.take_failure(answer).await;
        }
        let mut answer = answer;
        let mut splitter = EventSplitter::default();
        match self.first_piece(&mut answer.body, &mut splitter).await {
            FirstPiece::Cut(code) => {
                if code == ResultCode::StreamCut {
                    self.core
                        .crashes
                        .note_loss(&self.request, &answer.call, false);
                }
                answer.call.close(CallVerdict::Lost);
                Err(ErrorResponse::new(code))
            }
            FirstPiece::Ended => Ok(StreamStart::Started(Box::new(StartedStream {
                answer,
                first: None,
                splitter,
            }))),
            FirstPiece::Events(run) => Ok(StreamStart::Started(Box::new(StartedStream {
                answer,
                first: Some(run),
                splitter,
            }))),
        }
    }

    async fn take_failure(&mut self, answer: UpstreamAnswer) -> Result<StreamStart, ErrorResponse> {
        let status = answer.head.status;
        let reading = Limited::new(answer.body, MAX_FAILURE_BYTES).collect();
        let bytes: Bytes = match time::timeout(self.request.left(), reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            outcome => {
                if outcome.is_ok() {
                    self.core
                        .crashes
                        .note_loss(&self.request, &answer.call, true);
                }
                answer.call.close(CallVerdict::Lost);
                return Err(ErrorResponse::new(ResultCode::StreamCut));
            }
        };
        answer.call.close(status_verdict(status));
        if promises_not_run(status) {
            return Err(ErrorResponse::new(ResultCode::UpstreamGarbled));
        }
        let mut response = Response::new(RelayBody::whole(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = self.core.dialect.returned_headers(&answer.head.headers);
        Ok(StreamStart::Other(response))
    }
}
