//! Serves one request of a model service, up to the first complete event of its stream.

mod answering;
mod prefill;

use {
    crate::{
        CallEnd, CallPlan, CallPurpose, CallerDialect, CallerRequest, ErrorResponse, EventBatch,
        EventSplitter, FlowFailure, HeldPlace, RelayBody, RelayCore, ReservedSlot, ResourceGuard,
        ResumedSoftware, SlotFinder, SlotWait, StreamPump, UpstreamAnswer, UpstreamDialect,
        WastedPrefill, WorkRoute, piece_channel, prompt_search::find_holders,
        relay_core::status_code, resource_guard::discard,
    },
    http::Response,
    kernel::{ResultCode, ServiceId, SoftwareVersion, UpstreamId, steady_clock},
    policy::{AttemptEnd, StreamAttempts, UpstreamRecord},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// The share of the route's first-byte target that a request may spend waiting for a slot. A caller refused early
/// retries when slots are free again; longer waits are most often wasted or lead to a late answer.
const SLOT_WAIT_SHARE: f64 = 0.24;

/// A request of a model service in progress.
pub struct StreamFlow<D: UpstreamDialect> {
    /// The shared state of the process.
    pub core: Arc<RelayCore<D>>,
    /// The engines known to hold the KV cache of the prompt.
    pub holders: Vec<UpstreamId>,
    /// When the last event arrived, or the request.
    pub gap_since: Instant,
    /// The place of the running call; `None` without a call, or when places are not scheduled.
    pub place: Option<HeldPlace>,
    /// How many places were asked for or announced.
    places: AtomicU64,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// Its route.
    pub route: Arc<WorkRoute>,
    /// The service.
    pub service: ServiceId,
    /// Engines not to be asked again.
    pub tried: Vec<UpstreamId>,
    /// The software version that began the stream, at which alone it can go on; `None` while no event was delivered.
    pub software: Option<SoftwareVersion>,
    /// When the last slot was reserved.
    pub slot_reserved_at: Instant,
    /// The calls so far.
    attempts: StreamAttempts,
}

/// A stream whose first complete events have arrived.
pub struct StartedStream {
    /// The answer, whose body continues.
    pub answer: UpstreamAnswer,
    /// The first complete events; `None` when the stream ended without one.
    pub first: Option<EventBatch>,
    /// Holds the beginning of the next event.
    pub splitter: EventSplitter,
}

/// The result of asking engines.
pub enum StreamStart {
    /// A stream.
    Started(Box<StartedStream>),
    /// An engine's own error, which is no stream.
    Other(Response<RelayBody>),
}

impl<D: UpstreamDialect> StreamFlow<D> {
    /// The retry delay if the request is refused.
    pub fn retry_after(&self) -> Duration {
        let request = &self.request.head.id;
        self.core.retry_after(&self.service, request)
    }

    /// Counts a place; returns how many there were before.
    pub(crate) fn note_place(&self) -> u64 {
        self.places.fetch_add(1, Ordering::Relaxed)
    }

    /// Records that a stream whose caller resumes it found no place at the only version at which it can go on.
    pub(crate) fn note_wanted(&self) {
        let Some(software) = &self.software else {
            return;
        };
        if self.request.head.after.is_none() {
            return;
        }
        let pause = self.retry_after();
        let mut upstreams = self.core.upstreams.lock();
        let wanted = &mut upstreams.wanted;
        wanted.note(&self.service, software, pause, steady_clock::now());
    }

    /// Memory to reserve at an engine, tokens. An engine that holds the prompt needs room for the output only: with a
    /// larger reservation it would evict other prompts, or this one, to make room.
    pub fn tokens_at(&self, engine: &UpstreamId) -> u64 {
        let request = &self.request;
        match self.holders.contains(engine) {
            true => request.kv_tokens() - request.prompt_tokens(),
            false => request.kv_tokens(),
        }
    }
}

impl<D: CallerDialect + UpstreamDialect> StreamFlow<D> {
    /// A request that no engine has received.
    pub fn new(
        core: Arc<RelayCore<D>>,
        request: Arc<CallerRequest>,
        route: Arc<WorkRoute>,
        service: ServiceId,
    ) -> Self {
        let attempts = StreamAttempts::new(route.repeat, route.tries);
        Self {
            core,
            holders: Vec::new(),
            gap_since: request.since,
            place: None,
            places: AtomicU64::new(0),
            slot_reserved_at: steady_clock::now(),
            request,
            route,
            service,
            software: None,
            tried: Vec::new(),
            attempts,
        }
    }

    /// Serves the request. The head of the answer is returned together with the first event.
    ///
    /// # Errors
    ///
    /// The response to the caller when no engine answered.
    pub async fn run(mut self) -> Result<Response<RelayBody>, FlowFailure> {
        let mut wait = SlotWait {
            by_own_view: self.request.since + self.route.first_byte.mul_f64(SLOT_WAIT_SHARE),
            in_queue: self.request.deadline,
        };
        if self.request.head.after.is_some() {
            self.find_origin().await?;
            // Its caller has the first events already, and would have to stay away for as long.
            let until = steady_clock::now() + self.retry_after();
            wait.by_own_view = wait.by_own_view.max(until).min(self.request.deadline);
        }
        let stream = match self.start(None, None, wait).await {
            Err(error) => return Err(self.failure(error)),
            Ok(StreamStart::Started(stream)) => *stream,
            Ok(StreamStart::Other(response)) => {
                self.request.trace.end(status_code(response.status()));
                return Ok(response);
            }
        };
        self.request.trace.note_first_byte();
        if stream.first.is_some() {
            self.note_beginning(&stream.answer.call.upstream);
        }
        let (sender, receiver) = piece_channel(&self.core.buffers);
        let mut response = Response::new(RelayBody::pieces(receiver));
        *response.status_mut() = stream.answer.head.status;
        *response.headers_mut() = self
            .core
            .dialect
            .returned_headers(&stream.answer.head.headers);
        tokio::spawn(StreamPump::new(self, stream, sender).run());
        Ok(response)
    }

    /// Finds out at which software version the stream began that the caller resumes, and where its prompt is held.
    ///
    /// # Errors
    ///
    /// The version is not known.
    async fn find_origin(&mut self) -> Result<(), FlowFailure> {
        let finding = self.core.software.find(&self.request, &self.service);
        let ((software, source), holders) = tokio::join!(finding, self.find_holders());
        self.core.counts.note_resumed_by(source);
        self.holders = holders;
        let trace = &self.request.trace;
        let resumed = self.request.head.resumes.as_deref().unwrap_or("none");
        let Some(software) = software else {
            trace.note(format_args!("software of attempt {resumed} not known"));
            self.core.counts.note_resumed(ResumedSoftware::Unknown);
            let retry_after = self.retry_after();
            return Err(
                ErrorResponse::with_retry_after(ResultCode::SoftwareUnknown, retry_after).into(),
            );
        };
        trace.note(format_args!("attempt {resumed} began at {software}"));
        self.software = Some(software);
        Ok(())
    }

    /// Records the software version of the first events of this answer.
    fn note_beginning(&self, engine: &UpstreamRecord) {
        let software = &engine.software;
        self.core
            .software
            .note(&self.request, &self.service, software);
        if let Some(began) = &self.software {
            let outcome = ResumedSoftware::new(began, software);
            self.core.counts.note_resumed(outcome);
        }
    }

    /// A request that no engine could be reached for may go elsewhere, unless it may have run.
    fn failure(&self, error: ErrorResponse) -> FlowFailure {
        let is_unreachable = error.code == ResultCode::UpstreamUnreachable;
        FlowFailure {
            error,
            runs_if_unreachable: (is_unreachable && !self.attempts.has_run()).then_some(0),
        }
    }

    /// Asks engines until one streams. `after` is the last event that the caller has and `slot` a slot that is already
    /// reserved; others are waited for as `wait` says.
    ///
    /// # Errors
    ///
    /// The response to the caller when no engine started.
    pub async fn start(
        &mut self,
        after: Option<Arc<str>>,
        slot: Option<ReservedSlot<D>>,
        wait: SlotWait,
    ) -> Result<StreamStart, ErrorResponse> {
        let mut last =
            ErrorResponse::with_retry_after(ResultCode::UpstreamMissing, self.retry_after());
        let mut slot = slot;
        loop {
            let slot = match slot.take() {
                Some(slot) => slot,
                None => match self.find_slot(wait).await {
                    Ok(slot) => slot,
                    Err(answer) => return Err(last.merge(answer, self.attempts.has_run())),
                },
            };
            match self.try_slot(slot, after.clone()).await {
                Ok(start) => return Ok(start),
                Err(answer) => last = last.merge(answer, self.attempts.has_run()),
            }
            if !self.can_continue() {
                return Err(last);
            }
        }
    }

    /// How often the request may have run.
    pub fn runs(&self) -> u32 {
        self.attempts.runs()
    }

    /// Whether another engine may be asked.
    pub fn can_continue(&self) -> bool {
        self.attempts.can_continue() && !self.request.left().is_zero()
    }

    /// Asks the engines which of them already hold the prompt.
    async fn find_holders(&self) -> Vec<UpstreamId> {
        let prompt = self.request.head.prompt.as_ref();
        let Some(last_part) = prompt.and_then(|prompt| prompt.parts.last()) else {
            return Vec::new();
        };
        let (holders, outcome) = find_holders(&self.core, &self.service, &last_part.id).await;
        let trace = &self.request.trace;
        let outcome = outcome.label();
        trace.note(format_args!("prompt held by {holders:?}, search {outcome}"));
        holders
    }

    /// Waits for a slot at a decode engine.
    ///
    /// # Errors
    ///
    /// All engines are full, or the service has none.
    pub async fn find_slot(&self, wait: SlotWait) -> Result<ReservedSlot<D>, ErrorResponse> {
        let table = self.core.routes.load();
        let service = table
            .as_ref()
            .and_then(|table| table.services.get(&self.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let life = engine.and_then(|engine| engine.hold_life);
        SlotFinder::new(self, life).find(wait).await
    }

    /// Prefills the prompt where the settings say so, and runs the request at its slot.
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
            place,
            prefill,
        } = slot;

        self.slot_reserved_at = steady_clock::now();
        let upstream = call.upstream.clone();
        if self.attempts.has_run() && !self.reserve_retry() {
            return Err(self.budget_spent());
        }
        let has_prompt = self.holders.contains(&upstream.id);
        let kv = match self.core.settings.load().has_separate_prefill && !has_prompt {
            true => {
                self.prefill_prompt(&upstream.zone, &prefill, place.as_ref())
                    .await
            }
            false => None,
        };
        let (kv, kv_guard) = kv.unzip();
        let block = {
            let upstreams = self.core.upstreams.lock();
            upstreams.call_block(&upstream.id, steady_clock::now())
        };
        if let Some(block) = block {
            // The engine stated during the prefill that it leaves, or asked for a pause.
            drop(call);
            discard(kv_guard, WastedPrefill::PlaceLeft);
            let trace = &self.request.trace;
            trace.note(format_args!("place {} {block}", upstream.id));
            return Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamMissing,
                self.retry_after(),
            ));
        }
        if !self.allow_call() {
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
        self.attempts.note(match end {
            CallEnd::Answer(_) | CallEnd::Lost(_) => AttemptEnd::Ran,
            CallEnd::Denied(_) => AttemptEnd::Blocked,
            CallEnd::NotRun => AttemptEnd::Refused,
            CallEnd::Unreachable | CallEnd::Unsent => AttemptEnd::Unsent,
        });
        match end {
            CallEnd::Answer(_) => [guard, kv_guard]
                .into_iter()
                .flatten()
                .for_each(ResourceGuard::disarm),
            _ => discard(kv_guard, WastedPrefill::RunRefused),
        }
        match end {
            CallEnd::Answer(answer) => {
                let start = self.take_answer(*answer).await;
                self.keep_place(&start, place);
                start
            }
            CallEnd::Denied(answer) => Err(answer),
            CallEnd::Lost(code) => Err(ErrorResponse::new(code)),
            CallEnd::NotRun => Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamRefused,
                self.retry_after(),
            )),
            CallEnd::Unreachable => Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamUnreachable,
                self.retry_after(),
            )),
            CallEnd::Unsent => Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamMissing,
                self.retry_after(),
            )),
        }
    }

    /// Follows the place of a stream that has begun. Without a first event the place is given back.
    fn keep_place(&mut self, start: &Result<StreamStart, ErrorResponse>, place: Option<HeldPlace>) {
        let Ok(StreamStart::Started(stream)) = start else {
            return;
        };
        if let (Some(place), Some(first)) = (&place, &stream.first) {
            place.began();
            place.note_events(first.count);
        }
        self.place = place;
    }

    /// Takes a further call from the tries and the retry budget; `false` when none is allowed.
    fn allow_call(&mut self) -> bool {
        let Self {
            core,
            service,
            attempts,
            ..
        } = self;
        let is_allowed = attempts.allow_call(|| core.take_retry(service));
        if !is_allowed {
            self.request.trace.note(format_args!("retry budget spent"));
        }
        is_allowed
    }

    /// Records whether an engine honoured its own reservation; `has_kv` when the request needs a KV cache that may have
    /// been evicted meanwhile, at another engine or at this one.
    fn note_slot_result(&self, engine: &UpstreamId, end: &CallEnd, has_kv: bool) {
        let mut upstreams = self.core.upstreams.lock();
        match end {
            CallEnd::Answer(_) => upstreams.note_run(engine),
            CallEnd::Denied(_) | CallEnd::Lost(_) | CallEnd::Unreachable | CallEnd::Unsent => {}
            CallEnd::NotRun => upstreams.note_refusal(engine, has_kv, steady_clock::now()),
        }
    }

    fn budget_spent(&self) -> ErrorResponse {
        ErrorResponse::with_retry_after(ResultCode::RetryBudgetSpent, self.retry_after())
    }

    /// Takes the retry for the next call from the budget in advance; `false` when it is exhausted.
    pub fn reserve_retry(&mut self) -> bool {
        let Self {
            core,
            service,
            attempts,
            ..
        } = self;
        let is_reserved = attempts.reserve_retry(|| core.take_retry(service));
        if !is_reserved {
            self.request.trace.note(format_args!("retry budget spent"));
        }
        is_reserved
    }
}
