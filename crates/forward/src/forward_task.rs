//! Forwards one request.

use {
    crate::{
        AnswerHead, AnswerPump, FORWARD_TAG, ForwardClient, ForwardError, ForwardReply,
        ForwardSession, RequestHead, WireHeaders, forward_client::CALL_TIMEOUT,
        forward_message::garbled,
    },
    http::{HeaderMap, Response, StatusCode},
    kernel::{InstanceId, ResultCode, ServiceId, steady_clock},
    peer::PeerError,
    relay::{
        BodyAllowance, CallerRequest, ErrorResponse, ForwardEnd, RelayBody, UpstreamDialect,
        WorkRoute, piece_channel, relay_core::status_code,
    },
    std::sync::Arc,
    tokio::{sync::oneshot, time},
};

/// How many instances are tried for one request.
const MAX_ATTEMPTS: usize = 2;
/// An idempotent request goes to a further instance after this many times the route's target without an answer.
const SILENCE_FACTOR: u32 = 3;

/// A request on its way through another instance.
#[derive(Debug)]
pub struct ForwardTask<D> {
    client: ForwardClient<D>,
    request: Arc<CallerRequest>,
    route: Arc<WorkRoute>,
    runs: u32,
    service: ServiceId,
    tried: Vec<InstanceId>,
}

/// How one attempt ended.
enum Attempt {
    Answer(AnswerHead, ForwardSession),
    /// The request may have run.
    Lost,
    /// The other instance has no answer of an upstream.
    Refused(ErrorResponse),
    /// The request was not sent.
    Unsent,
}

impl<D: UpstreamDialect> ForwardTask<D> {
    /// A request that may have run `runs` times.
    pub fn new(
        client: ForwardClient<D>,
        request: Arc<CallerRequest>,
        route: Arc<WorkRoute>,
        service: ServiceId,
        runs: u32,
    ) -> Self {
        Self {
            client,
            request,
            route,
            runs,
            service,
            tried: Vec::new(),
        }
    }

    /// Forwards the request, unless its caller leaves: dropping an attempt tells the other instance.
    pub async fn run(self, reply: oneshot::Sender<ForwardEnd>) {
        let mut reply = reply;
        let end = tokio::select! {
            () = reply.closed() => return,
            end = self.forward() => end,
        };
        // Fails only when the caller has left.
        let _ = reply.send(end);
    }

    async fn forward(mut self) -> ForwardEnd {
        let mut end = ForwardEnd::NoHelper;
        while self.tried.len() < MAX_ATTEMPTS {
            let id = &self.request.head.id;
            let finding = self.client.find_helper(&self.service, id, &self.tried);
            let Some(helper) = finding.await else {
                break;
            };
            self.tried.push(helper.clone());
            let open = OpenForward::new(&self.client, &self.service, &helper);
            match self.attempt(&helper).await {
                Attempt::Answer(head, session) => {
                    return self.take_answer(head, session, open).await;
                }
                Attempt::Lost => {
                    open.fail();
                    self.runs += 1;
                    end = ForwardEnd::Lost(ResultCode::UpstreamLost);
                    if !self.may_repeat() || self.runs >= self.route.tries {
                        break;
                    }
                }
                Attempt::Refused(error) if error.code.not_run() => {
                    open.fail();
                    // It says nothing about an earlier attempt that was lost.
                    if !matches!(end, ForwardEnd::Lost(_)) {
                        end = ForwardEnd::Refused(error);
                    }
                }
                Attempt::Refused(error) => return ForwardEnd::Lost(error.code),
                Attempt::Unsent => open.fail(),
            }
        }
        end
    }

    /// Whether a further run is safe. A stream has one at most, whose events can't be joined with those of another.
    fn may_repeat(&self) -> bool {
        self.route.repeat.may_repeat() && !self.route.streams
    }

    async fn attempt(&self, helper: &InstanceId) -> Attempt {
        let trace = &self.request.trace;
        let mut session = match self.open_session(helper).await {
            Ok(session) => session,
            Err(detail) => {
                trace.note(format_args!("not forwarded to {helper}: {detail}"));
                return Attempt::Unsent;
            }
        };
        trace.note(format_args!("forwarded to {helper}"));
        trace.note_sent();
        let left = self.request.left();
        let limit = match self.may_repeat() {
            true => left.min(self.route.first_byte * SILENCE_FACTOR),
            false => left,
        };
        match time::timeout(limit, self.exchange(&mut session)).await {
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
            Ok(Err(error)) if error.is_declined() => {
                trace.note(format_args!("{helper} declines: {error}"));
                Attempt::Unsent
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

    /// Opens a session, or tells why there is none.
    async fn open_session(&self, helper: &InstanceId) -> Result<ForwardSession, String> {
        let opening = self.client.endpoint.open_session(helper, FORWARD_TAG);
        match time::timeout(CALL_TIMEOUT, opening).await {
            Ok(Ok((sender, receiver))) => Ok(ForwardSession::new(sender, receiver)),
            // Its other sessions go on, and a new connection would only hide how many there are.
            Ok(Err(error @ PeerError::Busy { .. })) => Err(error.to_string()),
            Ok(Err(error)) => {
                self.client.endpoint.forget(helper);
                Err(error.to_string())
            }
            Err(_) => {
                self.client.endpoint.forget(helper);
                Err("no session in time".to_owned())
            }
        }
    }

    /// Sends the request and waits for the other instance's reply.
    async fn exchange(&self, session: &mut ForwardSession) -> Result<ForwardReply, ForwardError> {
        let request = &self.request;
        let access = request.access.as_ref();
        let target = request.target.path_and_query();
        let head = RequestHead {
            body_bytes: request.body.len(),
            customer: access.map(|access| (access.customer.id.clone(), access.version)),
            elapsed: steady_clock::elapsed(request.since),
            headers: WireHeaders::from(&request.headers),
            left: request.left(),
            method: request.method.to_string(),
            repeat: self.route.repeat,
            runs: self.runs,
            target: target.map_or("/", |target| target.as_str()).to_owned(),
            tries: self.route.tries,
        };
        session.exchange(&head, &request.body).await
    }

    /// Builds the response to the caller. A stream is passed on as it arrives, any other answer once it is complete.
    async fn take_answer(
        self,
        head: AnswerHead,
        session: ForwardSession,
        open: OpenForward<D>,
    ) -> ForwardEnd {
        let headers = HeaderMap::try_from(head.headers);
        let status = StatusCode::from_u16(head.status).map_err(garbled);
        let (Ok(headers), Ok(status)) = (headers, status) else {
            return ForwardEnd::Lost(ResultCode::UpstreamGarbled);
        };
        let request = self.request;
        let buffers = &self.client.core.buffers;
        let (sender, receiver) = piece_channel(buffers);
        let is_stream = head.body_bytes.is_none();
        let pump = AnswerPump {
            is_stream,
            open,
            request: request.clone(),
            sender,
            session,
        };
        tokio::spawn(pump.run());
        let mut body = RelayBody::pieces(receiver);
        if !is_stream {
            let collecting = buffers.collect(body, BodyAllowance::for_answer());
            let Ok(Ok(whole)) = time::timeout(request.left(), collecting).await else {
                return ForwardEnd::Lost(ResultCode::StreamCut);
            };
            request.trace.end(status_code(status));
            body = RelayBody::buffered(whole);
        }
        request.trace.note_first_byte();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        ForwardEnd::Answer(response)
    }
}

/// Counts as open at a helper until it is dropped.
#[derive(Debug)]
pub struct OpenForward<D: UpstreamDialect> {
    client: ForwardClient<D>,
    /// The helper.
    pub helper: InstanceId,
    service: ServiceId,
}

impl<D: UpstreamDialect> OpenForward<D> {
    fn new(client: &ForwardClient<D>, service: &ServiceId, helper: &InstanceId) -> Self {
        client.note_begin(service, helper);
        Self {
            client: client.clone(),
            helper: helper.clone(),
            service: service.clone(),
        }
    }

    /// Ends it; the helper is not chosen again before it has been asked.
    fn fail(self) {
        self.client.note_failure(&self.service, &self.helper);
    }
}

impl<D: UpstreamDialect> Drop for OpenForward<D> {
    fn drop(&mut self) {
        self.client.note_end(&self.service, &self.helper);
    }
}
