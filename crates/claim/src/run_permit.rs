//! The right to run a ticket's request, and what is left of it afterwards.

use {
    crate::{
        life_key::LifeKey, sent::Sent, ticket::TicketSerial, undone_dispatch::UndoneDispatch,
        unsent::Unsent,
    },
    std::time::Instant,
};

/// The one right to run a ticket's request. It is not `Clone`; the origin gives one out for each ticket.
#[derive(Debug)]
#[must_use = "a permit ends in a dispatch or in a refusal"]
pub struct RunPermit {
    pub(crate) deadline: Instant,
    pub(crate) life: LifeKey,
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
    Begun {
        /// The request, to be written at once.
        request: T,
        /// The run, for the table.
        run: RunTicket,
        /// The duty to answer.
        sent: Sent,
    },
    /// The ticket ended first, such as while the process was frozen: refuse it as
    /// [`TicketExpired`](kernel::ResultCode::TicketExpired).
    Late {
        /// The permit, for the table.
        permit: RunPermit,
        /// The request.
        unsent: Unsent<T>,
    },
}

impl RunPermit {
    /// When the ticket ends, by this process's monotonic clock.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Dispatches the request, if its ticket has not ended. `now` is read right before the call: whoever was
    /// frozen must not run what others may take for ended.
    pub fn dispatch<T>(self, now: Instant, unsent: Unsent<T>) -> PermitDispatch<T> {
        if now >= self.deadline {
            return PermitDispatch::Late {
                permit: self,
                unsent,
            };
        }
        let (request, sent) = unsent.dispatch();
        PermitDispatch::Begun {
            request,
            run: RunTicket { permit: self },
            sent,
        }
    }
}

impl RunTicket {
    /// The life and serial that the table knows it by.
    pub(crate) fn place(&self) -> (&LifeKey, TicketSerial) {
        (&self.permit.life, self.permit.serial)
    }

    /// The dispatch came to nothing: the ticket may be dispatched again, the request with it.
    pub fn undone<T>(
        self,
        sent: Sent,
        evidence: UndoneDispatch,
        request: T,
    ) -> (RunPermit, Unsent<T>) {
        (self.permit, sent.undone(evidence, request))
    }
}
