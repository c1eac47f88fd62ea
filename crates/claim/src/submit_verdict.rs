//! What an origin says to a request that comes with a ticket.

use crate::{request_outcome::RequestOutcome, run_permit::RunPermit};

/// What to do with a submission. Only [`Self::Run`] leads to a dispatch.
#[derive(Debug)]
#[must_use = "a submission has to be answered"]
pub enum SubmitVerdict<A> {
    /// The same request runs already: wait for its outcome, or answer
    /// [`TicketUsed`](kernel::ResultCode::TicketUsed).
    Attach,
    /// The outcome is known.
    Decided(RequestOutcome<A>),
    /// The ticket's life is not held here: pass the request on.
    Elsewhere,
    /// Run it, once.
    Run(RunPermit),
}
