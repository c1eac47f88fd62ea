//! Requests with an `Idempotency-Key`: a conditional insert at the platform turns the key into a ticket.

use {
    crate::{
        error_answer::ErrorAnswer,
        ticket_desk::{DeskVerdict, TicketDesk},
        ticket_door::{LocalEnd, TicketDoor},
        ticket_metrics::ticket_happening,
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

/// How long a key stands for its request.
const KEY_LIFETIME: Duration = Duration::from_secs(3600);

/// How often a claim whose origin refused is replaced before the refusal is passed on.
const REPLACE_LIMIT: usize = 2;
const PLATFORM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The permit of a claim that is not settled yet. Dropped before it is used, its ticket is sealed: it never runs.
struct HeldPermit {
    desk: Arc<TicketDesk>,
    permit: Option<RunPermit>,
}

impl<S: RowStore + 'static> TicketDoor<S> {
    /// Handles a request with a caller's key.
    pub(crate) async fn handle_key(&self, key: &[u8], request: Request<Body>) -> Response {
        let request = match TicketRequest::read(request, self.limit).await {
            Ok(request) => request,
            Err(answer) => return answer.into_response(),
        };
        let unsent = UnsentRequest::from_caller(request);
        self.desk.metrics.count(ticket_happening::KEYED);
        match self.claim(key, unsent.as_request()) {
            Ok((claim, permit)) => self.settle(claim, permit, unsent).await,
            Err(code) => refusal(code),
        }
    }

    /// The claim of a request, and the permit of its ticket, which is out before the row is written.
    fn claim(
        &self,
        key: &[u8],
        request: &TicketRequest,
    ) -> Result<(KeyedClaim, HeldPermit), ResultCode> {
        let digest = request.digest();
        let ticket = self.desk.mint(KEY_LIFETIME)?;
        let DeskVerdict::Run(permit) = self.desk.submit(&ticket, digest) else {
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
        let permit = HeldPermit {
            desk: self.desk.clone(),
            permit: Some(permit),
        };
        Ok((KeyedClaim::new(row, record), permit))
    }

    async fn settle(
        &self,
        mut claim: KeyedClaim,
        mut permit: HeldPermit,
        mut unsent: UnsentRequest<TicketRequest>,
    ) -> Response {
        let mut event = ClaimEvent::Start;
        let mut refused = None;
        for _ in 0..REPLACE_LIMIT {
            match self.keeper.settle(&mut claim, event).await {
                ClaimVerdict::Forward(ticket) => {
                    let (response, back) = self.submit_found(&ticket, unsent).await;
                    let Some(back) = back else {
                        return response;
                    };
                    unsent = back;
                    refused = Some(response);
                    event = ClaimEvent::OriginRefused;
                }
                ClaimVerdict::Refuse(code) => {
                    permit.refuse(unsent, code);
                    return refusal(code);
                }
                ClaimVerdict::Run => return self.run_held(permit, unsent).await,
            }
        }
        refused.unwrap_or_else(|| refusal(ResultCode::PlatformDown))
    }

    async fn run_held(
        &self,
        mut held: HeldPermit,
        unsent: UnsentRequest<TicketRequest>,
    ) -> Response {
        let Some(permit) = held.permit.take() else {
            return refusal(ResultCode::Closing);
        };
        match self.run(permit, unsent).await {
            LocalEnd::Answered(response, _) => response,
            LocalEnd::Elsewhere(..) => refusal(ResultCode::Closing),
        }
    }

    /// Attaches to the run that the key stands for.
    async fn submit_found(
        &self,
        ticket: &Ticket,
        unsent: UnsentRequest<TicketRequest>,
    ) -> (Response, Option<UnsentRequest<TicketRequest>>) {
        self.submit(ticket, unsent).await
    }
}

impl HeldPermit {
    fn refuse(&mut self, unsent: UnsentRequest<TicketRequest>, code: ResultCode) {
        if let Some(permit) = self.permit.take() {
            self.desk.refuse(permit, unsent, code);
        }
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.desk.seal(permit, ResultCode::CallerGone);
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
