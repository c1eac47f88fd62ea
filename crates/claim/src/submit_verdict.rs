//! An origin's decision on a request with a ticket.

use crate::{request_outcome::RequestOutcome, run_permit::RunPermit};

/// How to handle a submission. Only [`Self::Run`] leads to a dispatch.
#[derive(Debug)]
#[must_use = "a submission has to be answered"]
pub enum SubmitVerdict<A> {
    /// The same request is already running: wait for its outcome, or answer
    /// [`TicketUsed`](kernel::ResultCode::TicketUsed).
    Attach,
    /// The outcome is known.
    Decided(RequestOutcome<A>),
    /// This instance does not hold the tickets of that incarnation: forward the request.
    Elsewhere,
    /// Run it under this permit.
    Run(RunPermit),
}
