//! Evidence that a dispatched request did not run.

use {crate::request_outcome::OriginReply, kernel::ResultCode};

/// Evidence that nothing of a dispatched request ran: the upstream's statement, or a connection that was never
/// established.
///
/// It cannot be constructed without either:
///
/// ```compile_fail,E0423
/// let forged = claim::NotRunEvidence(());
/// ```
#[derive(Debug)]
pub struct NotRunEvidence(());

/// The statuses by which an upstream refuses before it runs anything.
const REFUSAL_STATUSES: [u16; 2] = [429, 503];

impl NotRunEvidence {
    /// From an upstream's complete refusal: evidence if its status is 429 or 503 and its body states that
    /// nothing ran.
    pub fn from_refusal(status: u16, ran: Option<bool>) -> Option<Self> {
        let is_not_run = ran == Some(false);
        let refused = REFUSAL_STATUSES.contains(&status);
        (is_not_run && refused).then_some(Self(()))
    }

    /// From the reply of the ticket's origin: evidence if it did not run and never will by that ticket.
    pub fn from_origin<A>(reply: &OriginReply<A>) -> Option<Self> {
        match reply {
            OriginReply::NotRun(code) if code.not_run() => Some(Self(())),
            _ => None,
        }
    }

    /// From the final result of the request's flow in this instance: evidence if its code means that nothing ran.
    pub fn from_verdict(code: ResultCode) -> Option<Self> {
        code.not_run().then_some(Self(()))
    }

    /// The instance that the request was forwarded to does not hold its ticket, so it ran nothing.
    pub fn not_held() -> Self {
        Self(())
    }

    /// The connection was never established, so that no byte of the request left this instance.
    pub fn not_connected() -> Self {
        Self(())
    }
}
