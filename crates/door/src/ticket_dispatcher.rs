//! Dispatches requests with a ticket or an idempotency key before they reach the handlers.

use {
    crate::{
        admission_gate::{AdmissionGate, GatePass},
        error_answer::ErrorAnswer,
        ticket_answer::TicketAnswer,
        ticket_forward::{ForwardOutcome, forward, origin_gone},
        ticket_metrics::ticket_event,
        ticket_peers::TicketPeers,
        ticket_registry::{SubmitDecision, TicketRegistry},
        ticket_request::{KEY_HEADER, TICKET_HEADER, TicketRequest},
        ticket_run::RunGuard,
    },
    axum::{
        Router,
        body::Body,
        response::{IntoResponse, Response},
    },
    claim::{
        ClaimKeeper, IncarnationKey, PermitDispatch, RequestOutcome, RunPermit, Ticket,
        UnsentRequest,
    },
    http::Request,
    kernel::ResultCode,
    plat::RowStore,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
    tower::ServiceExt,
};

/// How long a repeated submission waits for the run of the first one.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(120);
/// A request is forwarded to at most this many holders in turn while its tickets are being handed over.
const MAX_FORWARDS: usize = 4;

/// Decides for each request whether it runs here, is forwarded to another instance, or must not run again.
pub struct TicketDispatcher<S> {
    pub(crate) claim_secret: u64,
    pub(crate) registry: Arc<TicketRegistry>,
    pub(crate) gate: Arc<AdmissionGate>,
    pub(crate) handlers: Router,
    pub(crate) keeper: ClaimKeeper<S>,
    pub(crate) limit: usize,
    pub(crate) peers: TicketPeers,
}

/// The outcome of a submission to this instance.
pub(crate) enum LocalOutcome {
    /// The answer, and the request if it did not run.
    Answered(Response, Option<UnsentRequest<TicketRequest>>),
    /// The ticket is not held here, but possibly by this incarnation.
    Elsewhere(UnsentRequest<TicketRequest>, IncarnationKey),
}

impl<S: RowStore + 'static> TicketDispatcher<S> {
    /// Handles any request. One without a ticket or key goes directly to its handler.
    pub(crate) async fn handle(&self, request: Request<Body>) -> Response {
        let headers = request.headers();
        let ticket = headers.get(TICKET_HEADER).cloned();
        let key = headers.get(KEY_HEADER).cloned();
        match (ticket, key) {
            (None, None) => self.run_handler(request).await,
            (None, Some(key)) => self.handle_key(key.as_bytes(), request).await,
            (Some(_), Some(_)) => {
                let answer = ErrorAnswer::of(ResultCode::RequestInvalid);
                answer
                    .with_detail("a request has a ticket or an idempotency key, not both")
                    .into_response()
            }
            (Some(ticket), None) => {
                let ticket = ticket.to_str().unwrap_or_default().trim().parse::<Ticket>();
                match ticket {
                    Ok(ticket) => self.handle_ticket(&ticket, request).await,
                    Err(error) => {
                        let answer = ErrorAnswer::of(ResultCode::TicketUnknown);
                        answer.with_detail(error).into_response()
                    }
                }
            }
        }
    }

    /// Submits a request to this instance. If the same request is already running, waits for its outcome.
    pub(crate) async fn submit_here(
        &self,
        ticket: &Ticket,
        unsent: UnsentRequest<TicketRequest>,
    ) -> LocalOutcome {
        let digest = unsent.as_request().digest();
        let end = time::Instant::now() + ATTACH_TIMEOUT;
        loop {
            let mut settled = std::pin::pin!(self.registry.settled());
            settled.as_mut().enable();
            match self.registry.submit(ticket, digest) {
                SubmitDecision::Attach => {
                    self.registry.metrics.count(ticket_event::ATTACHED);
                    if time::timeout_at(end, settled).await.is_err() {
                        return LocalOutcome::Answered(still_running(), None);
                    }
                }
                SubmitDecision::Decided(outcome) => return decided_outcome(outcome, unsent),
                SubmitDecision::Elsewhere(life) => return LocalOutcome::Elsewhere(unsent, life),
                SubmitDecision::Run(permit) => return self.run(permit, unsent).await,
            }
        }
    }

    /// Submits a request to this instance or forwards it to the holder of its ticket.
    pub(crate) async fn submit(
        &self,
        ticket: &Ticket,
        unsent: UnsentRequest<TicketRequest>,
    ) -> (Response, Option<UnsentRequest<TicketRequest>>) {
        let mut unsent = unsent;
        for _ in 0..MAX_FORWARDS {
            let (returned, life) = match self.submit_here(ticket, unsent).await {
                LocalOutcome::Answered(response, returned) => return (response, returned),
                LocalOutcome::Elsewhere(returned, life) => (returned, life),
            };
            let pass = match self.gate.enter() {
                Err(ResultCode::QueueFull) => return (self.too_busy(), None),
                entered => entered.ok(),
            };
            self.registry.metrics.count(ticket_event::FORWARDED);
            let end = self.forward(&life, ticket, returned, pass).await;
            let (returned, next) = match end {
                ForwardOutcome::Answered(response, returned) => return (response, returned),
                ForwardOutcome::Elsewhere(returned, next) => (returned, next),
                ForwardOutcome::Lost(response) => {
                    self.registry.metrics.count(ticket_event::ORIGIN_GONE);
                    return (response, None);
                }
                ForwardOutcome::Unreachable(returned) => (returned, None),
            };
            let next = match next {
                Some(next) => Some(next),
                None => self.peers.find_holder(&ticket.life, &ticket.zone).await,
            };
            let Some(next) = next.filter(|next| *next != life) else {
                break;
            };
            self.registry.record_successor(ticket.life.clone(), next);
            unsent = returned;
        }
        self.registry.metrics.count(ticket_event::ORIGIN_GONE);
        let response = origin_gone(
            "this submission did not leave here, and nobody can say whether an earlier one of its ticket ran",
        );
        (response, None)
    }

    /// Runs a request under its permit.
    pub(crate) async fn run(
        &self,
        permit: RunPermit,
        unsent: UnsentRequest<TicketRequest>,
    ) -> LocalOutcome {
        let run_by = permit.deadline();
        match permit.dispatch(Instant::now(), unsent) {
            PermitDispatch::Started { request, run, sent } => {
                let guard = RunGuard::new(self.registry.clone(), run, sent);
                let response = self.run_handler(request.into_http(run_by)).await;
                LocalOutcome::Answered(guard.settle(response), None)
            }
            PermitDispatch::Expired { permit, unsent } => {
                let code = ResultCode::TicketExpired;
                self.registry.refuse(permit, unsent, code);
                LocalOutcome::Answered(ErrorAnswer::of(code).into_response(), None)
            }
        }
    }

    async fn forward(
        &self,
        life: &IncarnationKey,
        ticket: &Ticket,
        unsent: UnsentRequest<TicketRequest>,
        pass: Option<GatePass>,
    ) -> ForwardOutcome {
        forward(&self.peers.endpoint, life, ticket, unsent, pass).await
    }

    async fn handle_ticket(&self, ticket: &Ticket, request: Request<Body>) -> Response {
        match TicketRequest::read(request, self.limit).await {
            Ok(request) => {
                let unsent = UnsentRequest::from_caller(request);
                self.submit(ticket, unsent).await.0
            }
            Err(answer) => answer.into_response(),
        }
    }

    /// The answer when the ticket's origin would have to be asked, but this instance has reached its request limit.
    fn too_busy(&self) -> Response {
        self.registry.metrics.count(ticket_event::ORIGIN_GONE);
        origin_gone(
            "this instance holds as many requests as it takes, and did not ask the ticket's origin",
        )
    }

    async fn run_handler(&self, request: Request<Body>) -> Response {
        match self.handlers.clone().oneshot(request).await {
            Ok(response) => response,
            Err(never) => match never {},
        }
    }
}

/// Builds the answer to a repeated submission from the recorded outcome.
fn decided_outcome(
    outcome: RequestOutcome<TicketAnswer>,
    unsent: UnsentRequest<TicketRequest>,
) -> LocalOutcome {
    let code = outcome.code();
    match outcome {
        RequestOutcome::Answered(answer) => LocalOutcome::Answered(answer.into_response(), None),
        RequestOutcome::NotRun(_) => {
            LocalOutcome::Answered(ErrorAnswer::of(code).into_response(), Some(unsent))
        }
        RequestOutcome::Unknown(_) | RequestOutcome::Used => {
            LocalOutcome::Answered(ErrorAnswer::of(code).into_response(), None)
        }
    }
}

fn still_running() -> Response {
    ErrorAnswer::of(ResultCode::TicketUsed)
        .with_detail("the request still runs")
        .into_response()
}
