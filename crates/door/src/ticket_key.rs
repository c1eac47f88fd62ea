//! Handles requests with an `Idempotency-Key`: a conditional insert into the platform maps the key to a ticket.

use {
    crate::{
        error_answer::ErrorAnswer,
        ticket_dispatcher::{LocalOutcome, TicketDispatcher},
        ticket_metrics::ticket_event,
        ticket_registry::{SubmitDecision, TicketRegistry},
        ticket_request::TicketRequest,
    },
    axum::{
        body::Body,
        response::{IntoResponse, Response},
    },
    claim::{
        ClaimEvent, ClaimRecord, ClaimVerdict, ClockReading, KeyedClaim, RunPermit, Ticket,
        UnsentRequest, claim_key,
    },
    http::Request,
    kernel::ResultCode,
    plat::RowStore,
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

/// How long a key identifies its request.
const KEY_LIFETIME: Duration = Duration::from_secs(3600);

/// A claim is attempted this often if its origin refuses. After that the refusal is returned to the caller.
const MAX_CLAIM_ATTEMPTS: usize = 2;
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The permit of a claim that is not settled yet. If it is dropped unused, its ticket is sealed and never runs.
struct PermitGuard {
    registry: Arc<TicketRegistry>,
    permit: Option<RunPermit>,
}

impl<S: RowStore + 'static> TicketDispatcher<S> {
    /// Handles a request with an idempotency key.
    pub(crate) async fn handle_key(&self, key: &[u8], request: Request<Body>) -> Response {
        let request = match TicketRequest::read(request, self.limit).await {
            Ok(request) => request,
            Err(answer) => return answer.into_response(),
        };
        let unsent = UnsentRequest::from_caller(request);
        self.registry.metrics.count(ticket_event::KEYED);
        match self.claim(key, unsent.as_request()) {
            Ok((claim, permit)) => self.settle(claim, permit, unsent).await,
            Err(code) => refusal(code),
        }
    }

    /// Creates the claim of a request and the permit of its ticket. The permit is issued before the row is written.
    fn claim(
        &self,
        key: &[u8],
        request: &TicketRequest,
    ) -> Result<(KeyedClaim, PermitGuard), ResultCode> {
        let digest = request.digest();
        let ticket = self.registry.mint(KEY_LIFETIME)?;
        let SubmitDecision::Run(permit) = self.registry.submit(&ticket, digest) else {
            return Err(ResultCode::Closing);
        };
        let clock = ClockReading {
            now: Instant::now(),
            wall: SystemTime::now(),
        };
        let record = ClaimRecord::under_permit(clock, &permit, ticket, digest);
        let scope = String::from_utf8_lossy(request.scope());
        let key = String::from_utf8_lossy(key);
        let row = claim_key(self.claim_secret, request.work(), &scope, &key);
        let permit = PermitGuard {
            registry: self.registry.clone(),
            permit: Some(permit),
        };
        Ok((KeyedClaim::new(row, record), permit))
    }

    async fn settle(
        &self,
        mut claim: KeyedClaim,
        mut permit: PermitGuard,
        mut unsent: UnsentRequest<TicketRequest>,
    ) -> Response {
        let mut event = ClaimEvent::Start;
        let mut refused = None;
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            match self.keeper.settle(&mut claim, event).await {
                ClaimVerdict::Forward(ticket) => {
                    let (response, returned) = self.submit_found(&ticket, unsent).await;
                    let Some(returned) = returned else {
                        return response;
                    };
                    unsent = returned;
                    refused = Some(response);
                    event = ClaimEvent::OriginRefused;
                }
                ClaimVerdict::Refuse(code) => {
                    permit.refuse(unsent, code);
                    return refusal(code);
                }
                ClaimVerdict::Run => return self.run_claimed(permit, unsent).await,
            }
        }
        refused.unwrap_or_else(|| refusal(ResultCode::PlatformDown))
    }

    async fn run_claimed(
        &self,
        mut guard: PermitGuard,
        unsent: UnsentRequest<TicketRequest>,
    ) -> Response {
        let Some(permit) = guard.permit.take() else {
            return refusal(ResultCode::Closing);
        };
        match self.run(permit, unsent).await {
            LocalOutcome::Answered(response, _) => response,
            LocalOutcome::Elsewhere(..) => refusal(ResultCode::Closing),
        }
    }

    /// Attaches to the existing run of the key.
    async fn submit_found(
        &self,
        ticket: &Ticket,
        unsent: UnsentRequest<TicketRequest>,
    ) -> (Response, Option<UnsentRequest<TicketRequest>>) {
        self.submit(ticket, unsent).await
    }
}

impl PermitGuard {
    fn refuse(&mut self, unsent: UnsentRequest<TicketRequest>, code: ResultCode) {
        if let Some(permit) = self.permit.take() {
            self.registry.refuse(permit, unsent, code);
        }
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.registry.seal(permit, ResultCode::CallerGone);
        }
    }
}

fn refusal(code: ResultCode) -> Response {
    let answer = ErrorAnswer::of(code);
    match code {
        ResultCode::KeyTaken => answer.into_response(),
        _ => answer
            .with_retry_after(PLATFORM_RETRY_AFTER)
            .into_response(),
    }
}
