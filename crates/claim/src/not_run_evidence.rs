//! The evidence that a dispatched request did not run after all.

use {crate::request_outcome::OriginReply, kernel::ResultCode};

/// Evidence that nothing of a dispatched request ran: the upstream's own word, or a connection that never was.
///
/// It can't be made up without either:
///
/// ```compile_fail,E0423
/// let forged = claim::NotRunEvidence(());
/// ```
#[derive(Debug)]
pub struct NotRunEvidence(());

/// The status of an upstream that refuses before it runs anything.
const REFUSAL_STATUSES: [u16; 2] = [429, 503];

impl NotRunEvidence {
    /// The upstream's whole refusal: evidence when its status is 429 or 503 and its body says that it did not run.
    pub fn from_refusal(status: u16, ran: Option<bool>) -> Option<Self> {
        let said = ran == Some(false);
        let refused = REFUSAL_STATUSES.contains(&status);
        (said && refused).then_some(Self(()))
    }

    /// The origin of the request's ticket said that it did not run, and never will by that ticket.
    pub fn from_origin<A>(reply: &OriginReply<A>) -> Option<Self> {
        match reply {
            OriginReply::NotRun(code) if code.not_run() => Some(Self(())),
            _ => None,
        }
    }

    /// The request's own flow, which ends here, said that nothing of it ran: evidence when its code says so.
    pub fn from_verdict(code: ResultCode) -> Option<Self> {
        code.not_run().then_some(Self(()))
    }

    /// The instance that the request was passed on to does not hold its ticket, and so ran nothing of it.
    pub fn not_held() -> Self {
        Self(())
    }

    /// The connection was never established, so that no byte of the request left this instance.
    pub fn not_connected() -> Self {
        Self(())
    }
}
