//! The right to run a ticket's request, and what is left of it afterwards.

use {
    crate::{
        incarnation_key::IncarnationKey, not_run_evidence::NotRunEvidence,
        sent_request::SentRequest, ticket::TicketSerial, unsent_request::UnsentRequest,
    },
    std::time::Instant,
};

/// The one right to run a ticket's request. It is not `Clone`; the origin gives one out for each ticket.
#[derive(Debug)]
#[must_use = "a permit ends in a dispatch or in a refusal"]
pub struct RunPermit {
    pub(crate) deadline: Instant,
    pub(crate) life: IncarnationKey,
    pub(crate) serial: TicketSerial,
}

/// A ticket whose request was dispatched.
#[derive(Debug)]
#[must_use = "the table has to hear what became of a run"]
pub struct RunTicket {
    permit: RunPermit,
}

/// What a dispatch under a permit came to.
#[derive(Debug)]
pub enum PermitDispatch<T> {
    /// It may be sent now.
    Started {
        /// The request, to be written at once.
        request: T,
        /// The run, for the table.
        run: RunTicket,
        /// The duty to answer.
        sent: SentRequest,
    },
    /// The ticket ended first, such as while the process was frozen: refuse it as
    /// [`TicketExpired`](kernel::ResultCode::TicketExpired).
    Expired {
        /// The permit, for the table.
        permit: RunPermit,
        /// The request.
        unsent: UnsentRequest<T>,
    },
}

impl RunPermit {
    /// When the ticket ends, by this process's monotonic clock.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Dispatches the request, if its ticket has not ended. `now` is read right before the call: whoever was
    /// frozen must not run what others may take for ended.
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
    /// The life and serial that the table knows it by.
    pub(crate) fn key(&self) -> (&IncarnationKey, TicketSerial) {
        (&self.permit.life, self.permit.serial)
    }

    /// The dispatch came to nothing: the ticket may be dispatched again, the request with it.
    pub fn into_unsent<T>(
        self,
        sent: SentRequest,
        evidence: NotRunEvidence,
        request: T,
    ) -> (RunPermit, UnsentRequest<T>) {
        (self.permit, sent.into_unsent(evidence, request))
    }
}
