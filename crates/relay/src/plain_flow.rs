//! One request of a plain service: calls upstreams until one answers or no further call is allowed.

use {
    crate::{
        CallEnd, CallPlan, CallPurpose, CallerDialect, CallerRequest, ErrorResponse, RelayBody,
        RelayCore, UpstreamAnswer, UpstreamDialect, WorkRoute, relay_core::status_verdict,
    },
    bytes::Bytes,
    http::{Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    kernel::{ResultCode, ServiceId, UpstreamId},
    policy::{CallVerdict, ChoiceQuery, UpstreamStage},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::time,
};

/// Answers of plain services are read whole before they go on, so that one that breaks off can be told or repeated.
/// Larger ones are refused as garbled; the services' own answers are some kilobytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// On how many upstreams a request that did not run is tried, beyond the tries of its row.
const MAX_REFUSALS: u32 = 2;
/// When to come back after a refusal: a few times an ordinary answer of a plain service.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// A repeatable request whose upstream is silent for so many times its target is given to another one.
const SILENCE_FACTOR: u32 = 2;

/// A request on its way through the upstreams of a plain service.
pub struct PlainFlow<'a, D> {
    core: &'a RelayCore<D>,
    /// A failure of an upstream's own, to give back when no other upstream does better.
    fallback: Option<Response<RelayBody>>,
    /// Whether it may not run any more since a call of it.
    is_denied: bool,
    refused: u32,
    request: &'a CallerRequest,
    route: &'a WorkRoute,
    runs: u32,
    service: &'a ServiceId,
    tried: Vec<UpstreamId>,
}

/// An answer that was read whole.
struct WholeAnswer {
    body: Bytes,
    head: http::response::Parts,
}

/// What one call leaves to do.
enum NextStep {
    Done(Box<Response<RelayBody>>),
    Again(ErrorResponse),
}

impl<'a, D: CallerDialect + UpstreamDialect> PlainFlow<'a, D> {
    /// A request that no upstream has seen.
    pub fn new(
        core: &'a RelayCore<D>,
        request: &'a CallerRequest,
        route: &'a WorkRoute,
        service: &'a ServiceId,
    ) -> Self {
        Self {
            core,
            fallback: None,
            is_denied: false,
            refused: 0,
            request,
            route,
            runs: 0,
            service,
            tried: Vec::new(),
        }
    }

    /// Serves the request.
    pub async fn run(mut self) -> Result<Response<RelayBody>, ErrorResponse> {
        let mut last = ErrorResponse::with_retry_after(ResultCode::UpstreamMissing, RETRY_AFTER);
        loop {
            let Some(upstream) = self.choose() else {
                return self.give_up(last);
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
                NextStep::Again(answer) => last = last.merge(answer, self.runs > 0),
            }
            if !self.may_go_on() {
                return self.give_up(last);
            }
        }
    }

    fn choose(&self) -> Option<Arc<policy::UpstreamRecord>> {
        self.core.choose(&ChoiceQuery {
            avoid: &self.tried,
            holders: &[],
            connected: &BTreeSet::new(),
            request: &self.request.head.id,
            service: self.service,
            stage: UpstreamStage::Plain,
            zone: &self.core.settings.load().zone,
        })
    }

    fn give_up(self, last: ErrorResponse) -> Result<Response<RelayBody>, ErrorResponse> {
        self.fallback.ok_or(last)
    }

    fn may_go_on(&self) -> bool {
        let may_run =
            self.runs < self.route.tries && (self.runs == 0 || self.route.repeat.may_repeat());
        !self.is_denied && may_run && self.refused <= MAX_REFUSALS && !self.request.left().is_zero()
    }

    async fn read_whole(&self, answer: UpstreamAnswer) -> Option<WholeAnswer> {
        let UpstreamAnswer {
            body,
            call,
            facts,
            head,
            connection,
        } = answer;
        let reading = Limited::new(body, MAX_ANSWER_BYTES).collect();
        match time::timeout(self.request.left(), reading).await {
            Ok(Ok(collected)) => {
                call.close(status_verdict(head.status));
                self.core.crashes.note_answered(self.request);
                if !facts.closes_connection {
                    self.core.pool.keep(
                        &self.tried[self.tried.len() - 1],
                        connection,
                        facts.idle_timeout,
                    );
                }
                Some(WholeAnswer {
                    body: collected.to_bytes(),
                    head,
                })
            }
            outcome => {
                if outcome.is_ok() {
                    self.core.crashes.note_loss(self.request, &call, true);
                }
                call.close(CallVerdict::Lost);
                None
            }
        }
    }

    fn respond(&self, answer: WholeAnswer) -> Response<RelayBody> {
        let mut response = Response::new(RelayBody::whole(answer.body));
        *response.status_mut() = answer.head.status;
        *response.headers_mut() = self.core.dialect.returned_headers(&answer.head.headers);
        response
    }

    /// A repeatable request leaves a silent upstream for another one while a further run is allowed.
    fn head_timeout(&self) -> Option<Duration> {
        let may_leave = self.route.repeat.may_repeat() && self.runs + 1 < self.route.tries;
        may_leave.then(|| self.route.first_byte * SILENCE_FACTOR)
    }

    async fn take(&mut self, end: CallEnd) -> NextStep {
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
        if failed && self.may_go_on() && self.core.is_outlier(&upstream) {
            self.fallback = Some(self.respond(whole));
            return NextStep::Again(ErrorResponse::new(ResultCode::UpstreamGarbled));
        }
        NextStep::Done(Box::new(self.respond(whole)))
    }
}

/// Whether callers read a status as a promise that the request did not run. An upstream that sends one without saying that
/// the request did not run has not promised it.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
