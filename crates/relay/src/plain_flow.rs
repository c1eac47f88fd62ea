//! Serves one request of a plain service: calls upstreams until one answers or no further call is allowed.

use {
    crate::{
        BodyAllowance, BufferedBody, CallEnd, CallPlan, CallPurpose, CallerDialect, CallerRequest,
        CollectError, ErrorResponse, FlowFailure, RelayBody, RelayCore, UpstreamAnswer,
        UpstreamDialect, WorkRoute, relay_core::status_verdict,
    },
    http::{Response, StatusCode},
    kernel::{ResultCode, ServiceId, UpstreamId, ZoneId, steady_clock},
    policy::{CallVerdict, ChoiceQuery, UpstreamStage},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::time,
};

/// How many further upstreams are tried after refusals, which do not count as tries of the route.
const MAX_REFUSALS: u32 = 2;
/// Retry delay after a refusal: a few times the usual latency of a plain service.
const RETRY_AFTER: Duration = Duration::from_millis(300);
static NO_CONNECTIONS: BTreeSet<UpstreamId> = BTreeSet::new();
/// An idempotent request moves to another upstream after this many times the route's target without an answer.
const SILENCE_FACTOR: u32 = 2;

/// A request of a plain service in progress.
pub struct PlainFlow<'a, D> {
    core: &'a RelayCore<D>,
    /// How often the request may have run at upstreams of another instance, which knows what came of it.
    earlier_runs: u32,
    /// An upstream's own error, returned to the caller if no other upstream does better.
    fallback: Option<Response<RelayBody>>,
    /// Whether the request may no longer run.
    is_denied: bool,
    /// Whether the last call found no connection.
    is_unreachable: bool,
    refused: u32,
    request: &'a CallerRequest,
    route: &'a WorkRoute,
    runs: u32,
    service: &'a ServiceId,
    tried: Vec<UpstreamId>,
}

/// An answer read in full.
struct BufferedAnswer {
    body: BufferedBody,
    head: http::response::Parts,
}

/// What to do after a call.
enum NextStep {
    Done(Box<Response<RelayBody>>),
    Again(ErrorResponse),
}

impl<'a, D: CallerDialect + UpstreamDialect> PlainFlow<'a, D> {
    /// A request that may have run `runs` times at upstreams of another instance. The response tells what became of it at
    /// those of this one.
    pub fn new(
        core: &'a RelayCore<D>,
        request: &'a CallerRequest,
        route: &'a WorkRoute,
        service: &'a ServiceId,
        runs: u32,
    ) -> Self {
        Self {
            core,
            earlier_runs: runs,
            fallback: None,
            is_denied: false,
            is_unreachable: false,
            refused: 0,
            request,
            route,
            runs,
            service,
            tried: Vec::new(),
        }
    }

    /// Serves the request.
    ///
    /// # Errors
    ///
    /// The response to the caller when no upstream answered.
    pub async fn run(mut self) -> Result<Response<RelayBody>, FlowFailure> {
        let mut last = ErrorResponse::with_retry_after(ResultCode::UpstreamMissing, RETRY_AFTER);
        if self.earlier_runs > 0 && !self.can_continue() {
            return Err(last.into());
        }
        loop {
            if self.is_unreachable && self.core.reach.is_lost(self.service) {
                return self.give_up(last);
            }
            let Some(upstream) = self.choose() else {
                return match self.tried.is_empty() {
                    true => Err(self.missing_upstream(&[]).into()),
                    false => {
                        let last = last.merge(self.exhausted(last), self.may_have_run());
                        self.give_up(last)
                    }
                };
            };
            let repeats = self.runs + self.refused > 0;
            if repeats && !self.core.take_retry(self.service) {
                self.request.trace.note(format_args!("retry budget spent"));
                return self.give_up(last);
            }
            self.tried.push(upstream.id.clone());
            let head_timeout = self.head_timeout();
            let plan = CallPlan {
                purpose: &CallPurpose::Run {
                    after: None,
                    kv: None,
                    slot: None,
                },
                request: self.request,
                route: self.route,
                head_timeout,
            };
            let end = self.core.call(plan, upstream).await;
            match self.take(end).await {
                NextStep::Done(response) => return Ok(*response),
                NextStep::Again(answer) => last = last.merge(answer, self.may_have_run()),
            }
            if !self.can_continue() {
                return self.give_up(last);
            }
        }
    }

    fn choose(&self) -> Option<Arc<policy::UpstreamRecord>> {
        let settings = self.core.settings.load();
        self.core.choose(&self.query(&settings.zone))
    }

    fn missing_upstream(&self, avoid: &[UpstreamId]) -> ErrorResponse {
        let settings = self.core.settings.load();
        let query = ChoiceQuery {
            avoid,
            ..self.query(&settings.zone)
        };
        self.core.missing_upstream(&query, RETRY_AFTER)
    }

    /// The response after the last upstream: when all of them ask for pauses, the request may come back after the first of
    /// these.
    fn exhausted(&self, last: ErrorResponse) -> ErrorResponse {
        let missing = self.missing_upstream(&[]);
        match missing.code == ResultCode::UpstreamLimited {
            true => missing,
            false => last,
        }
    }

    fn query<'q>(&'q self, zone: &'q ZoneId) -> ChoiceQuery<'q> {
        ChoiceQuery {
            avoid: &self.tried,
            connected: &NO_CONNECTIONS,
            filter: &self.request.zones,
            holders: &[],
            request: &self.request.head.id,
            service: self.service,
            software: None,
            stage: UpstreamStage::Plain,
            zone,
        }
    }

    fn give_up(self, last: ErrorResponse) -> Result<Response<RelayBody>, FlowFailure> {
        let may_go_elsewhere = self.is_unreachable && self.refused == 0 && self.can_continue();
        self.fallback.ok_or(FlowFailure {
            error: last,
            runs_if_unreachable: may_go_elsewhere.then_some(self.runs),
        })
    }

    /// Whether an upstream of this instance may have run the request.
    fn may_have_run(&self) -> bool {
        self.runs > self.earlier_runs
    }

    fn can_continue(&self) -> bool {
        let may_run =
            self.runs < self.route.tries && (self.runs == 0 || self.route.repeat.may_repeat());
        !self.is_denied && may_run && self.refused <= MAX_REFUSALS && !self.request.left().is_zero()
    }

    /// Reads an answer in full, so that a truncated one can be detected or retried.
    async fn read_whole(&self, answer: UpstreamAnswer) -> Option<BufferedAnswer> {
        let is_framed = answer.is_framed();
        let UpstreamAnswer {
            body,
            call,
            facts,
            head,
            connection,
        } = answer;
        let reading = self.core.buffers.collect(body, BodyAllowance::for_answer());
        match time::timeout(self.request.left(), reading).await {
            Ok(Ok(body)) => {
                if !head.status.is_server_error() {
                    let now = steady_clock::now();
                    let took = now.saturating_duration_since(call.since);
                    let mut upstreams = self.core.upstreams.lock();
                    upstreams.note_answer(&call.upstream.id, &self.route.work, took, now);
                    drop(upstreams);
                    self.core.note_answer_time(&self.route.work, took);
                }
                call.close(status_verdict(head.status));
                if is_framed {
                    self.core.crashes.note_answered(self.request);
                }
                if !facts.closes_connection {
                    self.core.pool.keep(
                        &self.tried[self.tried.len() - 1],
                        connection,
                        facts.idle_timeout,
                    );
                }
                Some(BufferedAnswer { body, head })
            }
            outcome => {
                if matches!(outcome, Ok(Err(CollectError::Cut))) {
                    self.core.crashes.note_loss(self.request, &call, true);
                }
                call.close(CallVerdict::Lost);
                None
            }
        }
    }

    fn respond(&self, answer: BufferedAnswer) -> Response<RelayBody> {
        let mut response = Response::new(RelayBody::buffered(answer.body));
        *response.status_mut() = answer.head.status;
        *response.headers_mut() = self.core.dialect.returned_headers(&answer.head.headers);
        response
    }

    /// The timeout for the head of the answer, if the request is idempotent and may run on another upstream after it.
    fn head_timeout(&self) -> Option<Duration> {
        let may_leave = self.route.repeat.may_repeat() && self.runs + 1 < self.route.tries;
        may_leave.then(|| self.route.first_byte * SILENCE_FACTOR)
    }

    async fn take(&mut self, end: CallEnd) -> NextStep {
        self.is_unreachable = matches!(end, CallEnd::Unreachable);
        match end {
            CallEnd::Answer(answer) => self.take_answer(*answer).await,
            CallEnd::Denied(answer) => {
                self.is_denied = true;
                NextStep::Again(answer)
            }
            CallEnd::Lost(code) => {
                self.runs += 1;
                NextStep::Again(ErrorResponse::new(code))
            }
            CallEnd::NotRun => {
                self.refused += 1;
                NextStep::Again(ErrorResponse::with_retry_after(
                    ResultCode::UpstreamRefused,
                    RETRY_AFTER,
                ))
            }
            CallEnd::Unreachable => NextStep::Again(ErrorResponse::with_retry_after(
                ResultCode::UpstreamUnreachable,
                RETRY_AFTER,
            )),
            CallEnd::Unsent => NextStep::Again(ErrorResponse::with_retry_after(
                ResultCode::UpstreamMissing,
                RETRY_AFTER,
            )),
        }
    }

    async fn take_answer(&mut self, answer: UpstreamAnswer) -> NextStep {
        self.runs += 1;
        let status = answer.head.status;
        let upstream = answer.call.upstream.id.clone();
        let Some(whole) = self.read_whole(answer).await else {
            return NextStep::Again(ErrorResponse::new(ResultCode::StreamCut));
        };
        let failed = status.is_server_error();
        if promises_not_run(status) {
            return NextStep::Again(ErrorResponse::new(ResultCode::UpstreamGarbled));
        }
        if failed && self.can_continue() && self.core.is_outlier(&upstream) {
            self.fallback = Some(self.respond(whole));
            return NextStep::Again(ErrorResponse::new(ResultCode::UpstreamGarbled));
        }
        NextStep::Done(Box::new(self.respond(whole)))
    }
}

/// Whether callers take a status to mean that the request did not run. An upstream that sends such a status without
/// stating so explicitly may have run the request.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
