//! The permit to run the request of a ticket, and its state after the dispatch.

use {
    crate::{
        incarnation_key::IncarnationKey, not_run_evidence::NotRunEvidence,
        sent_request::SentRequest, ticket::TicketSerial, unsent_request::UnsentRequest,
    },
    std::time::Instant,
};

/// The only permit to run the request of a ticket. It is not `Clone`; the origin issues one per ticket.
#[derive(Debug)]
#[must_use = "a permit must end in a dispatch or in a refusal"]
pub struct RunPermit {
    pub(crate) deadline: Instant,
    pub(crate) life: IncarnationKey,
    pub(crate) serial: TicketSerial,
}

/// A ticket whose request was dispatched.
#[derive(Debug)]
#[must_use = "the outcome of a run must be recorded in the table"]
pub struct RunTicket {
    permit: RunPermit,
}

/// The result of a dispatch under a permit.
#[derive(Debug)]
pub enum PermitDispatch<T> {
    /// The request may be sent now.
    Started {
        /// The request, to be written immediately.
        request: T,
        /// The run, whose outcome the table records.
        run: RunTicket,
        /// The obligation to answer.
        sent: SentRequest,
    },
    /// The ticket expired first, for example while the process was suspended: refuse it as
    /// [`TicketExpired`](kernel::ResultCode::TicketExpired).
    Expired {
        /// The permit, to be recorded as refused.
        permit: RunPermit,
        /// The request.
        unsent: UnsentRequest<T>,
    },
}

impl RunPermit {
    /// When the ticket expires, by this process's monotonic clock.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Dispatches the request, unless its ticket has expired. `now` must be read right before the call: a
    /// process that was suspended must not run a request that others may already regard as expired.
    pub fn dispatch<T>(self, now: Instant, unsent: UnsentRequest<T>) -> PermitDispatch<T> {
        if now >= self.deadline {
            return PermitDispatch::Expired {
                permit: self,
                unsent,
            };
        }
        let (request, sent) = unsent.dispatch();
        PermitDispatch::Started {
            request,
            run: RunTicket { permit: self },
            sent,
        }
    }
}

impl RunTicket {
    /// The key of the ticket in the table.
    pub(crate) fn key(&self) -> (&IncarnationKey, TicketSerial) {
        (&self.permit.life, self.permit.serial)
    }

    /// Reverts a dispatch that ran nothing: the request may be dispatched again with the same ticket.
    pub fn into_unsent<T>(
        self,
        sent: SentRequest,
        evidence: NotRunEvidence,
        request: T,
    ) -> (RunPermit, UnsentRequest<T>) {
        (self.permit, sent.into_unsent(evidence, request))
    }
}
