//! Acquiring, renewing and releasing one lease.

use {
    crate::{lease_hold::LeaseHold, lease_record::LeaseRecord, lease_settings::LeaseSettings},
    kernel::FencingToken,
    plat::{RowCondition, RowWrite, StoredRow, Transaction, TransactionReply},
    std::{sync::Arc, time::Instant},
};

/// Below the first fencing number of a lease.
const NO_TOKEN: FencingToken = 0;
/// Writes without an answer that are remembered, the youngest ones.
const PENDING_LIMIT: usize = 8;

/// What the lease hears.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// An upstream refused an order: it has seen this greater fencing number.
    FenceRefused(FencingToken),
    /// The platform gave no answer; a write may have taken effect, or may still.
    NoAnswer,
    /// The row was read.
    Read(Option<StoredRow>),
    /// Give the lease up. Ask only when no order may be at work.
    Release,
    /// The platform answered a write.
    Reply(TransactionReply),
    /// Time passed: acquire or renew, if it is due.
    Tick,
}

/// What to do for the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
#[must_use = "a lease goes on by its action"]
pub enum LeaseAction {
    /// Commit this, and bring the answer back.
    Commit(Transaction),
    /// Read this row, and bring it back.
    Get(Arc<str>),
    /// Wait for the next tick.
    Wait,
}

#[derive(Debug)]
struct HeldLease {
    hold: LeaseHold,
    renewed: Instant,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    fence: FencingToken,
    sent: Instant,
    unchecked_from: Instant,
    version: u64,
    write: u64,
}

#[derive(Debug)]
struct SeenLease {
    since: Instant,
    version: u64,
}

#[derive(Debug)]
enum LeasePhase {
    Following(Option<SeenLease>),
    Holding(HeldLease),
}

/// One lease, as one process sees it.
///
/// A holder counts its lease from before it sent the write, by its own monotonic clock, and a little short; others
/// wait for its whole life, and a little more, from when they first saw the row as it is. No wall clock has a say.
#[derive(Debug)]
pub struct LeaseCore {
    fence_floor: FencingToken,
    pending: Vec<PendingWrite>,
    phase: LeasePhase,
    settings: LeaseSettings,
    needs_read: bool,
    writes: u64,
}

impl LeaseCore {
    /// What this process may do by the lease now; none if it does not hold it, or if it ended by its own clock.
    /// Read the clock right before the order is sent.
    pub fn hold(&self, now: Instant) -> Option<LeaseHold> {
        let LeasePhase::Holding(held) = &self.phase else {
            return None;
        };
        (now < held.hold.until).then_some(held.hold)
    }

    /// A lease that nobody is known to hold.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            fence_floor: 0,
            pending: Vec::new(),
            phase: LeasePhase::Following(None),
            settings,
            needs_read: false,
            writes: 0,
        }
    }

    /// Decides what comes next.
    pub fn on_event(&mut self, now: Instant, event: LeaseEvent) -> LeaseAction {
        match event {
            LeaseEvent::FenceRefused(seen) => {
                self.fence_floor = self.fence_floor.max(seen);
                self.step_down()
            }
            LeaseEvent::NoAnswer => {
                self.needs_read = true;
                LeaseAction::Wait
            }
            LeaseEvent::Read(row) => self.on_row(now, row),
            LeaseEvent::Release => self.release(now),
            LeaseEvent::Reply(TransactionReply::Committed) => self.on_committed(),
            LeaseEvent::Reply(TransactionReply::Conflict { rows }) => {
                self.pending.pop();
                let row = rows.into_iter().find(|row| row.key == self.settings.key);
                self.on_row(now, row)
            }
            LeaseEvent::Tick => self.on_tick(now),
        }
    }

    /// The lease's settings.
    pub fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    /// Takes the lease with a fencing number above `fence`, and above all that upstreams have seen.
    fn acquire(
        &mut self,
        now: Instant,
        version: u64,
        fence: FencingToken,
        unchecked_from: Instant,
    ) -> LeaseAction {
        let next = fence.max(self.fence_floor) + 1;
        self.write_lease(now, version, next, unchecked_from)
    }

    fn write_lease(
        &mut self,
        now: Instant,
        version: u64,
        fence: FencingToken,
        unchecked_from: Instant,
    ) -> LeaseAction {
        let write = self.next_write();
        self.remember(PendingWrite {
            fence,
            sent: now,
            unchecked_from,
            version: version + 1,
            write,
        });
        self.commit(version, fence, Some(self.settings.holder.clone()), write)
    }

    fn commit(
        &self,
        version: u64,
        fence: FencingToken,
        holder: Option<Arc<str>>,
        write: u64,
    ) -> LeaseAction {
        let record = LeaseRecord {
            fence,
            holder,
            life: self.settings.life,
            longest_order: self.settings.longest_order,
            write,
        };
        let condition = RowCondition {
            key: self.settings.key.clone(),
            version,
        };
        let row_write = RowWrite {
            key: self.settings.key.clone(),
            value: Some(record.to_value()),
        };
        LeaseAction::Commit(Transaction {
            conditions: vec![condition],
            writes: vec![row_write],
        })
    }

    /// Holds the lease by a write that took effect.
    fn become_holder(&mut self, pending: PendingWrite) {
        self.pending.clear();
        self.needs_read = false;
        self.phase = LeasePhase::Holding(HeldLease {
            hold: LeaseHold {
                fence: pending.fence,
                unchecked_from: pending.unchecked_from,
                until: pending.sent + self.settings.usable_duration(),
            },
            renewed: pending.sent,
            version: pending.version,
        });
    }

    fn next_write(&mut self) -> u64 {
        self.writes += 1;
        self.writes
    }

    fn on_committed(&mut self) -> LeaseAction {
        if let Some(pending) = self.pending.last().copied() {
            self.become_holder(pending);
        }
        LeaseAction::Wait
    }

    /// The row says that another process holds the lease.
    fn on_foreign_row(
        &mut self,
        now: Instant,
        row: &StoredRow,
        record: &LeaseRecord,
    ) -> LeaseAction {
        let since = match &self.phase {
            LeasePhase::Following(Some(seen)) if seen.version == row.version => seen.since,
            _ => now,
        };
        self.phase = LeasePhase::Following(Some(SeenLease {
            since,
            version: row.version,
        }));
        let ended = since + record.takeover_wait();
        if now < ended {
            return LeaseAction::Wait;
        }
        let unchecked_from = ended + record.order_wait();
        self.acquire(now, row.version, record.fence, unchecked_from)
    }

    /// The row says that this process holds the lease.
    fn on_own_row(&mut self, now: Instant, row: &StoredRow, record: &LeaseRecord) -> LeaseAction {
        let written = self
            .pending
            .iter()
            .find(|pending| pending.write == record.write)
            .copied();
        if let Some(pending) = written {
            self.become_holder(pending);
        }
        if let LeasePhase::Holding(held) = &mut self.phase
            && held.hold.fence == record.fence
        {
            held.version = row.version;
            return self.renew(now);
        }
        // A write that was given up took effect after all. What it waited for is no longer known.
        let longest = record.takeover_wait() + record.order_wait();
        self.acquire(now, row.version, record.fence, now + longest)
    }

    fn on_row(&mut self, now: Instant, row: Option<StoredRow>) -> LeaseAction {
        self.needs_read = false;
        let Some(row) = row else {
            return self.acquire(now, 0, NO_TOKEN, now);
        };
        let Some(record) = LeaseRecord::from_value(&row.value) else {
            return self.step_down();
        };
        match &record.holder {
            None => {
                self.phase = LeasePhase::Following(None);
                self.acquire(now, row.version, record.fence, now)
            }
            Some(holder) if *holder == self.settings.holder => self.on_own_row(now, &row, &record),
            Some(_) => self.on_foreign_row(now, &row, &record),
        }
    }

    fn on_tick(&mut self, now: Instant) -> LeaseAction {
        let holds = matches!(self.phase, LeasePhase::Holding(_));
        if self.needs_read || !holds {
            return LeaseAction::Get(self.settings.key.clone());
        }
        self.renew(now)
    }

    fn release(&mut self, now: Instant) -> LeaseAction {
        let LeasePhase::Holding(held) = &self.phase else {
            return LeaseAction::Wait;
        };
        let (hold, version) = (held.hold, held.version);
        let ended = now >= hold.until;
        // An earlier holder's order may be at work: whoever comes next has to see a lease that lapsed.
        let waits = now < hold.unchecked_from;
        self.phase = LeasePhase::Following(None);
        if ended || waits {
            return LeaseAction::Wait;
        }
        self.pending.clear();
        let write = self.next_write();
        self.commit(version, hold.fence, None, write)
    }

    fn remember(&mut self, pending: PendingWrite) {
        if self.pending.len() == PENDING_LIMIT {
            self.pending.remove(0);
        }
        self.pending.push(pending);
    }

    /// Renews the lease when it is due, with the same fencing number; takes it anew when it ended.
    fn renew(&mut self, now: Instant) -> LeaseAction {
        let LeasePhase::Holding(held) = &self.phase else {
            return LeaseAction::Wait;
        };
        let (hold, version) = (held.hold, held.version);
        if now >= hold.until {
            self.phase = LeasePhase::Following(None);
            return self.acquire(now, version, hold.fence, hold.unchecked_from);
        }
        if now < held.renewed + self.settings.renew_after {
            return LeaseAction::Wait;
        }
        self.write_lease(now, version, hold.fence, hold.unchecked_from)
    }

    fn step_down(&mut self) -> LeaseAction {
        self.phase = LeasePhase::Following(None);
        LeaseAction::Wait
    }
}
