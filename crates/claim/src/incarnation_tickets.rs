//! The used tickets of one incarnation: this instance's own, or one that was handed over to it.

use {
    crate::{
        ticket::{CheckKey, Ticket, TicketSerial, millis},
        ticket_state::TicketRecord,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The state of a ticket without a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnusedTicket {
    /// It has expired and never ran.
    Expired,
    /// It expired so long ago that a record of it would have been removed.
    Forgotten,
    /// It may run.
    Usable,
}

/// The clock and the ticket records of one incarnation.
#[derive(Debug)]
pub(crate) struct IncarnationTickets {
    start_age: Duration,
    pub(crate) check_key: CheckKey,
    pub(crate) records: BTreeMap<TicketSerial, TicketRecord>,
    swept_ms: u64,
    started: Instant,
}

impl IncarnationTickets {
    /// The age of the incarnation, by this process's monotonic clock.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        self.start_age + now.saturating_duration_since(self.started)
    }

    /// When a ticket expires, by this process's monotonic clock.
    pub(crate) fn deadline(&self, ticket: &Ticket) -> Instant {
        let left = ticket.expiry.saturating_sub(self.start_age);
        self.started + left
    }

    /// An incarnation of the given age without records.
    pub(crate) fn new(now: Instant, age: Duration, check_key: CheckKey, swept_ms: u64) -> Self {
        Self {
            start_age: age,
            check_key,
            records: BTreeMap::new(),
            swept_ms,
            started: now,
        }
    }

    /// Removes the records that are past their retention and returns their serials.
    pub(crate) fn sweep(&mut self, now: Instant, retention: Duration) -> Vec<TicketSerial> {
        let swept_ms = millis(self.age(now).saturating_sub(retention));
        self.swept_ms = self.swept_ms.max(swept_ms);
        let mut swept = Vec::new();
        while let Some(entry) = self.records.first_entry() {
            if entry.key().expiry_ms >= self.swept_ms {
                break;
            }
            swept.push(*entry.key());
            entry.remove();
        }
        swept
    }

    /// Records with an expiry below this age of the incarnation, in milliseconds, have been removed.
    pub(crate) fn swept_ms(&self) -> u64 {
        self.swept_ms
    }

    /// The state of a ticket without a record.
    pub(crate) fn unused(&self, now: Instant, ticket: &Ticket) -> UnusedTicket {
        if ticket.serial().expiry_ms < self.swept_ms {
            return UnusedTicket::Forgotten;
        }
        if self.age(now) >= ticket.expiry {
            return UnusedTicket::Expired;
        }
        UnusedTicket::Usable
    }
}
