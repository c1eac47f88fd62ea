//! The used tickets of one life: this instance's own, or one that was handed over to it.

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

/// What is known of a ticket that has no record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnusedTicket {
    /// Its end has passed, and it never ran.
    Expired,
    /// Its end has passed so long ago that a record, had there been one, would be gone.
    Forgotten,
    /// It may run.
    Usable,
}

/// The clock and the records of one life.
#[derive(Debug)]
pub(crate) struct IncarnationTickets {
    start_age: Duration,
    pub(crate) check_key: CheckKey,
    pub(crate) records: BTreeMap<TicketSerial, TicketRecord>,
    swept_ms: u64,
    started: Instant,
}

impl IncarnationTickets {
    /// The age of the life, by this process's monotonic clock.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        self.start_age + now.saturating_duration_since(self.started)
    }

    /// When a ticket ends, by this process's monotonic clock.
    pub(crate) fn deadline(&self, ticket: &Ticket) -> Instant {
        let left = ticket.expiry.saturating_sub(self.start_age);
        self.started + left
    }

    /// A life of the given age.
    pub(crate) fn new(now: Instant, age: Duration, check_key: CheckKey, swept_ms: u64) -> Self {
        Self {
            start_age: age,
            check_key,
            records: BTreeMap::new(),
            swept_ms,
            started: now,
        }
    }

    /// Takes the records that are past their retention.
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

    /// Records with an expiry below this one are gone, milliseconds of the life's age.
    pub(crate) fn swept_ms(&self) -> u64 {
        self.swept_ms
    }

    /// What is known of a ticket that has no record.
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
