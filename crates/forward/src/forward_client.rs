//! Forwards the requests of this instance's callers.

use {
    crate::{
        AnswerHead, FORWARD_TAG, ForwardError, ForwardReply, ForwardSession, ReachQuery,
        RequestHead, WireHeaders,
        forward_message::{decode, encode, garbled},
    },
    http::{HeaderMap, Response, StatusCode},
    kernel::{InstanceId, LockRank, RankedLock, ResultCode, ServiceId, steady_clock},
    peer::{PeerEndpoint, PeerError},
    policy::HelperTable,
    relay::{
        CallerRequest, ErrorResponse, ForwardEnd, ForwardJob, PieceSender, RelayBody, RelayCore,
        UpstreamDialect, piece_channel, relay_core::status_code,
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Notify, mpsc},
        time,
    },
};

/// How many instances are tried for one request.
const MAX_ATTEMPTS: usize = 2;
/// How long a request waits for the first instance that says it reaches the service.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(120);
/// How long an instance may take to answer a question or to accept a session.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// An idempotent request goes to a further instance after this many times the route's target without an answer.
const SILENCE_FACTOR: u32 = 3;
/// Answers of plain services are buffered in full, as those of the own upstreams.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Forwards requests. Clones share their state.
#[derive(Debug)]
pub struct ForwardClient<D> {
    core: Arc<RelayCore<D>>,
    endpoint: PeerEndpoint,
    helpers: Arc<RankedLock<HelperTable>>,
    /// Notified when an instance has answered a question.
    reported: Arc<Notify>,
}

impl<D> Clone for ForwardClient<D> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            endpoint: self.endpoint.clone(),
            helpers: self.helpers.clone(),
            reported: self.reported.clone(),
        }
    }
}

/// How one attempt ended.
enum Attempt {
    Answer(AnswerHead, ForwardSession),
    Lost,
    Refused(ErrorResponse),
    Unsent,
}

impl<D: UpstreamDialect> ForwardClient<D> {
    /// A client that knows of no other instance.
    pub fn new(core: Arc<RelayCore<D>>, endpoint: PeerEndpoint) -> Self {
        Self {
            core,
            endpoint,
            helpers: Arc::new(RankedLock::new(LockRank::Services, HelperTable::default())),
            reported: Arc::new(Notify::new()),
        }
    }

    /// Forwards what is left at the desk, each request in its own task.
    pub async fn run(self, jobs: mpsc::Receiver<ForwardJob>) {
        let mut jobs = jobs;
        while let Some(job) = jobs.recv().await {
            tokio::spawn(self.clone().forward(job));
        }
    }

    async fn forward(self, job: ForwardJob) {
        let ForwardJob {
            mut reply,
            request,
            route,
            runs,
            service,
        } = job;
        let mut end = ForwardEnd::NoHelper;
        let mut runs = runs;
        let mut tried = Vec::new();
        let may_repeat = route.repeat.may_repeat() && !route.streams;
        let silence = may_repeat.then(|| route.first_byte * SILENCE_FACTOR);
        while tried.len() < MAX_ATTEMPTS {
            let finding = self.find_helper(&service, &request.head.id, &tried);
            let Some(helper) = finding.await else {
                break;
            };
            tried.push(helper.clone());
            self.helpers.lock().begin(&service, &helper);
            let attempt = tokio::select! {
                // The caller has left; dropping the attempt tells the other instance.
                () = reply.closed() => None,
                attempt = self.attempt(&helper, &request, runs, silence) => Some(attempt),
            };
            match attempt {
                None => return self.helpers.lock().end(&service, &helper),
                Some(Attempt::Answer(head, session)) => {
                    let answer = self.take_answer(&request, head, session, (service, helper));
                    let end = match answer.await {
                        Ok(response) => ForwardEnd::Answer(response),
                        Err(code) => ForwardEnd::Lost(code),
                    };
                    // Fails only when the caller has left.
                    let _ = reply.send(end);
                    return;
                }
                Some(outcome) => {
                    self.note_failure(&service, &helper);
                    match outcome {
                        Attempt::Refused(error) if error.code.not_run() => {
                            end = ForwardEnd::Refused(error);
                        }
                        Attempt::Refused(error) => {
                            end = ForwardEnd::Lost(error.code);
                            break;
                        }
                        Attempt::Unsent => {}
                        Attempt::Answer(..) | Attempt::Lost => {
                            runs += 1;
                            end = ForwardEnd::Lost(ResultCode::UpstreamLost);
                            if !may_repeat || runs >= route.tries {
                                break;
                            }
                        }
                    }
                }
            }
        }
        let _ = reply.send(end);
    }

    /// Records the end of a request at an instance that did not serve it. It is asked again with the next survey.
    fn note_failure(&self, service: &ServiceId, helper: &InstanceId) {
        let mut helpers = self.helpers.lock();
        helpers.end(service, helper);
        helpers.note_report(service, helper, None, steady_clock::now());
    }

    /// Finds an instance that reaches the service.
    async fn find_helper(
        &self,
        service: &ServiceId,
        request: &str,
        tried: &[InstanceId],
    ) -> Option<InstanceId> {
        let end = time::Instant::now() + SURVEY_TIMEOUT;
        loop {
            let mut reported = std::pin::pin!(self.reported.notified());
            reported.as_mut().enable();
            self.survey_when_due(service);
            let now = steady_clock::now();
            let helper = self.helpers.lock().choose(service, request, tried, now);
            if helper.is_some() {
                return helper;
            }
            time::timeout_at(end, reported).await.ok()?;
        }
    }

    /// Asks a few instances whether they reach the service, unless that was done a moment ago.
    fn survey_when_due(&self, service: &ServiceId) {
        let settings = self.core.settings.load();
        let own = (&settings.instance, &settings.zone);
        let fleet = self.core.fleet.members();
        let now = steady_clock::now();
        let asked = self.helpers.lock().begin_survey(service, own, &fleet, now);
        for instance in asked {
            tokio::spawn(self.clone().ask(service.clone(), instance));
        }
    }

    async fn ask(self, service: ServiceId, instance: InstanceId) {
        let query = ReachQuery {
            service: service.clone(),
        };
        let asking = async {
            let body = encode(&query)?;
            let answer = self.endpoint.call(&instance, FORWARD_TAG, &body).await?;
            decode(&answer)
        };
        let report = match time::timeout(CALL_TIMEOUT, asking).await {
            Ok(Ok(report)) => Some(report),
            Ok(Err(error)) => {
                tracing::debug!(%instance, %error, "an instance does not say what it reaches");
                None
            }
            Err(_) => None,
        };
        let mut helpers = self.helpers.lock();
        helpers.note_report(&service, &instance, report, steady_clock::now());
        drop(helpers);
        self.reported.notify_waiters();
    }

    async fn attempt(
        &self,
        helper: &InstanceId,
        request: &CallerRequest,
        runs: u32,
        silence: Option<Duration>,
    ) -> Attempt {
        let trace = &request.trace;
        let opening = self.endpoint.open_session(helper, FORWARD_TAG);
        let session = match time::timeout(CALL_TIMEOUT, opening).await {
            Ok(Ok((sender, receiver))) => ForwardSession::new(sender, receiver),
            outcome => {
                let detail = outcome.map_or_else(
                    |_| "no session in time".to_owned(),
                    |outcome| {
                        outcome
                            .err()
                            .as_ref()
                            .map_or(String::new(), PeerError::to_string)
                    },
                );
                trace.note(format_args!("not forwarded to {helper}: {detail}"));
                self.endpoint.forget(helper);
                return Attempt::Unsent;
            }
        };
        trace.note(format_args!("forwarded to {helper}"));
        trace.note_sent();
        let mut session = session;
        let exchange = exchange(&mut session, request, runs);
        let limit = silence.map_or(request.left(), |silence| silence.min(request.left()));
        match time::timeout(limit, exchange).await {
            Ok(Ok(ForwardReply::Answer(head))) => {
                trace.note(format_args!("{helper} passes on {}", head.status));
                Attempt::Answer(head, session)
            }
            Ok(Ok(ForwardReply::Refusal(refusal))) => {
                let code = refusal.code;
                trace.note(format_args!("{helper} refuses with {}", code.number()));
                Attempt::Refused(ErrorResponse {
                    code,
                    retry_after: refusal.retry_after,
                })
            }
            Ok(Err(error)) => {
                trace.note(format_args!("{helper} lost: {error}"));
                Attempt::Lost
            }
            Err(_) => {
                trace.note(format_args!("{helper} silent for {} ms", limit.as_millis()));
                Attempt::Lost
            }
        }
    }

    /// Builds the response to the caller. A stream is passed on as it arrives, any other answer once it is complete.
    async fn take_answer(
        &self,
        request: &Arc<CallerRequest>,
        head: AnswerHead,
        session: ForwardSession,
        helper: (ServiceId, InstanceId),
    ) -> Result<Response<RelayBody>, ResultCode> {
        let headers = HeaderMap::try_from(head.headers);
        let status = StatusCode::from_u16(head.status).map_err(garbled);
        let (Ok(headers), Ok(status)) = (headers, status) else {
            self.helpers.lock().end(&helper.0, &helper.1);
            return Err(ResultCode::UpstreamGarbled);
        };
        request.trace.note_first_byte();
        let (sender, receiver) = piece_channel(&self.core.buffers);
        let is_stream = head.body_bytes.is_none();
        let client = self.clone();
        tokio::spawn(client.pump(request.clone(), is_stream, session, sender, helper));
        let pieces = RelayBody::pieces(receiver);
        let body = match is_stream {
            true => pieces,
            false => {
                let collecting = self.core.buffers.collect(pieces, MAX_ANSWER_BYTES);
                let Ok(Ok(body)) = time::timeout(request.left(), collecting).await else {
                    return Err(ResultCode::StreamCut);
                };
                request.trace.end(status_code(status));
                RelayBody::buffered(body)
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(response)
    }

    /// Passes the body on until it ends or the caller leaves.
    async fn pump(
        self,
        request: Arc<CallerRequest>,
        is_stream: bool,
        session: ForwardSession,
        sender: PieceSender,
        helper: (ServiceId, InstanceId),
    ) {
        let mut session = session;
        loop {
            let part = tokio::select! {
                () = sender.closed() => break,
                part = session.part() => part,
            };
            match part {
                Ok(Some(part)) => {
                    request.trace.note_piece();
                    if sender.send(part).await.is_err() {
                        break;
                    }
                }
                Ok(None) => {
                    if is_stream {
                        request.trace.end(ResultCode::Answered);
                    }
                    break;
                }
                Err(error) => {
                    let trace = &request.trace;
                    trace.note(format_args!("{} cut: {error}", helper.1));
                    trace.end(ResultCode::StreamCut);
                    sender.cut();
                    break;
                }
            }
        }
        self.helpers.lock().end(&helper.0, &helper.1);
    }
}

/// Sends a request and waits for the other instance's first word.
async fn exchange(
    session: &mut ForwardSession,
    request: &CallerRequest,
    runs: u32,
) -> Result<ForwardReply, ForwardError> {
    let access = request.access.as_ref();
    let target = request.target.path_and_query();
    let head = RequestHead {
        body_bytes: request.body.len(),
        customer: access.map(|access| (access.customer.id.clone(), access.version)),
        elapsed: steady_clock::elapsed(request.since),
        headers: WireHeaders::from(&request.headers),
        left: request.left(),
        method: request.method.to_string(),
        runs,
        target: target.map_or("/", |target| target.as_str()).to_owned(),
    };
    session.send(&head, &request.body).await?;
    session.reply().await
}
