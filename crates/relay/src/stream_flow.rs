//! One request of a model service, up to the first whole event of its stream.

mod prompt_read;

use {
    crate::{
        CallEnd, CallPlan, CallPurpose, CallerDialect, CallerRequest, EventRun, EventSplitter,
        LeftoverGuard, OwnAnswer, PlaceFinder, RelayBody, RelayCore, ReservedPlace, StreamPump,
        UpstreamAnswer, UpstreamDialect, VainReading, WorkRoute,
        leftover_guard::discard,
        plain_flow::promises_not_run,
        prompt_search::find_holders,
        relay_core::{status_code, status_verdict},
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
const LARGEST_FAILURE: usize = 1 << 20;
/// How many pieces wait for a slow caller before the engine's stream is held up.
const PIECES_AHEAD: usize = 8;
/// Waiting for a place takes at most this share of the row's target. A caller that is told early comes back when places are
/// free again; one that waits longer most often waits in vain, or for an answer that is late.
const WAIT_SHARE: f64 = 0.24;

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
    /// When the last place was reserved.
    pub placed_at: Instant,
    /// Its calls so far.
    tries: StreamAttempts,
}

/// A stream whose first whole events have come.
pub struct BegunStream {
    /// The answer; its body goes on.
    pub answer: UpstreamAnswer,
    /// The first whole events; none when the stream ended without one.
    pub first: Option<EventRun>,
    /// Holds the start of the next event.
    pub splitter: EventSplitter,
}

/// What came of the engines that were asked.
pub enum StreamStart {
    /// A stream.
    Begun(Box<BegunStream>),
    /// An answer that is no stream: a failure of the engine's own.
    Other(Response<RelayBody>),
}

enum FirstPiece {
    Cut(ResultCode),
    Ended,
    Events(EventRun),
}

impl<D: UpstreamDialect> StreamFlow<D> {
    /// When the caller may come back, if it is refused.
    pub fn come_back(&self) -> Duration {
        let request = &self.request.head.id;
        self.core.come_back(&self.service, request)
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
            placed_at: steady_clock::now(),
            request,
            route,
            service,
            tried: Vec::new(),
            tries,
        }
    }

    /// Serves the request: the answer's head goes to the caller together with the first event.
    pub async fn run(mut self) -> Result<Response<RelayBody>, OwnAnswer> {
        let until = self.request.since + self.route.first_byte.mul_f64(WAIT_SHARE);
        if self.request.head.after.is_some() {
            self.find_holders().await;
        }
        let begun = match self.start(None, None, until).await? {
            StreamStart::Begun(begun) => *begun,
            StreamStart::Other(response) => {
                self.request.story.end(status_code(response.status()));
                return Ok(response);
            }
        };
        self.request.story.first_byte();
        let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
        let mut response = Response::new(RelayBody::pieces(receiver));
        *response.status_mut() = begun.answer.head.status;
        *response.headers_mut() = self
            .core
            .dialect
            .returned_headers(&begun.answer.head.headers);
        tokio::spawn(StreamPump::new(self, begun, sender).run());
        Ok(response)
    }

    /// Asks engines until one streams. `after` is the last event that the caller has, `place` a place that is reserved
    /// already; others are waited for until `until`.
    pub async fn start(
        &mut self,
        after: Option<Arc<str>>,
        place: Option<ReservedPlace<D>>,
        until: Instant,
    ) -> Result<StreamStart, OwnAnswer> {
        let mut last = OwnAnswer::later(ResultCode::UpstreamMissing, self.come_back());
        let mut place = place;
        loop {
            let place = match place.take() {
                Some(place) => place,
                None => match self.find_place(until).await {
                    Ok(place) => place,
                    Err(answer) => return Err(last.worse_of(answer, self.tries.has_run())),
                },
            };
            match self.try_place(place, after.clone()).await {
                Ok(start) => return Ok(start),
                Err(answer) => last = last.worse_of(answer, self.tries.has_run()),
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
        let story = &self.request.story;
        story.note(format_args!("prompt held by {:?}", self.holders));
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

    /// Waits for a place at a decode engine until a time.
    pub async fn find_place(&self, until: Instant) -> Result<ReservedPlace<D>, OwnAnswer> {
        let book = self.core.book.load();
        let service = book
            .as_ref()
            .and_then(|book| book.services.get(&self.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let life = engine.and_then(|engine| engine.hold_life);
        PlaceFinder::new(self, life).find(until).await
    }

    /// Reads the prompt where the settings say so, and runs the request at its place.
    async fn try_place(
        &mut self,
        place: ReservedPlace<D>,
        after: Option<Arc<str>>,
    ) -> Result<StreamStart, OwnAnswer> {
        let ReservedPlace {
            call,
            guard,
            held_until,
            name,
        } = place;
        self.placed_at = steady_clock::now();
        let upstream = call.upstream.clone();
        if self.tries.has_run() && !self.pay_ahead() {
            return Err(self.spent());
        }
        let is_held = self.holders.contains(&upstream.id);
        let kv = match self.core.settings.load().reads_apart && !is_held {
            true => self.read_prompt(&upstream.zone).await,
            false => None,
        };
        let (kv, kv_guard) = kv.unzip();
        if !self.core.board.lock().accepts_work(&upstream.id) {
            // It began to leave while the prompt was read; the place is given back.
            drop(call);
            discard(kv_guard, VainReading::PlaceLeft);
            let story = &self.request.story;
            story.note(format_args!("place {} leaves", upstream.id));
            return Err(OwnAnswer::later(
                ResultCode::UpstreamMissing,
                self.come_back(),
            ));
        }
        if !self.may_arrive() {
            drop(call);
            discard(kv_guard, VainReading::RunRefused);
            return Err(self.spent());
        }
        let purpose = CallPurpose::Run {
            after,
            kv,
            place: name,
        };
        let plan = CallPlan {
            purpose: &purpose,
            request: &self.request,
            route: &self.route,
            silence: None,
        };
        self.tried.push(upstream.id.clone());
        drop(call);
        let id = upstream.id.clone();
        let end = self.core.call(plan, upstream).await;
        if held_until.is_some_and(|until| steady_clock::now() < until) {
            self.note_place(&id, &end, kv_guard.is_some() || is_held);
        }
        self.tries.note(match end {
            CallEnd::Answer(_) | CallEnd::Lost(_) => AttemptEnd::Ran,
            CallEnd::Held(_) => AttemptEnd::Blocked,
            CallEnd::NotRun => AttemptEnd::Refused,
            CallEnd::Unsent => AttemptEnd::Unsent,
        });
        match end {
            CallEnd::Answer(_) => [guard, kv_guard]
                .into_iter()
                .flatten()
                .for_each(LeftoverGuard::close),
            _ => discard(kv_guard, VainReading::RunRefused),
        }
        match end {
            CallEnd::Answer(answer) => self.take_answer(*answer).await,
            CallEnd::Held(answer) => Err(answer),
            CallEnd::Lost(code) => Err(OwnAnswer::new(code)),
            CallEnd::NotRun => Err(OwnAnswer::later(
                ResultCode::UpstreamRefused,
                self.come_back(),
            )),
            CallEnd::Unsent => Err(OwnAnswer::later(
                ResultCode::UpstreamMissing,
                self.come_back(),
            )),
        }
    }

    /// Whether a further call may go out.
    fn may_arrive(&mut self) -> bool {
        let Self {
            core,
            service,
            tries,
            ..
        } = self;
        let may = tries.allow_call(|| core.take_retry(service));
        if !may {
            self.request.story.note(format_args!("retry budget spent"));
        }
        may
    }

    /// Tells the table how an engine treated its own reservation; `has_kv` when the request needs a KV cache that may have
    /// gone meanwhile, at another engine or at this one.
    fn note_place(&self, engine: &UpstreamId, end: &CallEnd, has_kv: bool) {
        let mut board = self.core.board.lock();
        match end {
            CallEnd::Answer(_) => board.note_run(engine),
            CallEnd::Held(_) | CallEnd::Lost(_) | CallEnd::Unsent => {}
            CallEnd::NotRun => board.note_refusal(engine, has_kv, steady_clock::now()),
        }
    }

    fn spent(&self) -> OwnAnswer {
        OwnAnswer::later(ResultCode::RetryBudgetSpent, self.come_back())
    }

    /// Takes the retry for the next call out of the budget ahead; `false` when there is none.
    pub fn pay_ahead(&mut self) -> bool {
        let Self {
            core,
            service,
            tries,
            ..
        } = self;
        let is_paid = tries.reserve_retry(|| core.take_retry(service));
        if !is_paid {
            self.request.story.note(format_args!("retry budget spent"));
        }
        is_paid
    }

    async fn take_answer(&mut self, answer: UpstreamAnswer) -> Result<StreamStart, OwnAnswer> {
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
                Err(OwnAnswer::new(code))
            }
            FirstPiece::Ended => Ok(StreamStart::Begun(Box::new(BegunStream {
                answer,
                first: None,
                splitter,
            }))),
            FirstPiece::Events(run) => Ok(StreamStart::Begun(Box::new(BegunStream {
                answer,
                first: Some(run),
                splitter,
            }))),
        }
    }

    async fn take_failure(&mut self, answer: UpstreamAnswer) -> Result<StreamStart, OwnAnswer> {
        let status = answer.head.status;
        let reading = Limited::new(answer.body, LARGEST_FAILURE).collect();
        let bytes: Bytes = match time::timeout(self.request.left(), reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            outcome => {
                if outcome.is_ok() {
                    self.core
                        .crashes
                        .note_loss(&self.request, &answer.call, true);
                }
                answer.call.close(CallVerdict::Lost);
                return Err(OwnAnswer::new(ResultCode::StreamCut));
            }
        };
        answer.call.close(status_verdict(status));
        if promises_not_run(status) {
            return Err(OwnAnswer::new(ResultCode::UpstreamGarbled));
        }
        let mut response = Response::new(RelayBody::whole(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = self.core.dialect.returned_headers(&answer.head.headers);
        Ok(StreamStart::Other(response))
    }
}
