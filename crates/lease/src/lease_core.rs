//! Acquiring, renewing and releasing one lease.

use {
    crate::{
        clock_drift::add_drift_margin, lease_hold::LeaseHold, lease_record::LeaseRecord,
        lease_settings::LeaseSettings,
    },
    kernel::FencingToken,
    plat::{RowCondition, RowWrite, StoredRow, Transaction, TransactionReply},
    std::{sync::Arc, time::Instant},
};

/// The number of fencing tokens of one epoch of the platform's rows: those of a later epoch are all greater, whatever the
/// rows say of earlier ones.
const TOKENS_PER_EPOCH: FencingToken = 1_000_000;
/// Lower than the first fencing token of a lease.
const NO_TOKEN: FencingToken = 0;
/// The maximum number of unanswered writes that are remembered; the oldest are dropped first.
const PENDING_LIMIT: usize = 8;

/// An input to the lease.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// An upstream refused an order because it has seen this greater fencing token.
    FenceRefused(FencingToken),
    /// The platform gave no answer; a write may have taken effect or may still do so.
    NoAnswer,
    /// The row was read.
    Read(Option<StoredRow>),
    /// Release the lease. Only allowed when no order can be in progress.
    Release,
    /// The platform answered a write.
    Reply(TransactionReply),
    /// Time passed: acquire or renew the lease if that is due.
    Tick,
}

/// The next action for the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
#[must_use = "a lease makes progress only by its action"]
pub enum LeaseAction {
    /// Commit this transaction and pass the reply to `on_event`.
    Commit(Transaction),
    /// Read this row and pass it to `on_event`.
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

/// The state machine of one lease in one process.
///
/// A holder counts its lease from before it sent the write, by its own monotonic clock and minus a drift
/// margin. Other processes wait for the whole duration plus a drift margin, from when they first saw the row in
/// its current version. Wall clocks are not used.
#[derive(Debug)]
pub struct LeaseCore {
    /// `None` before the first answer of the platform.
    epoch: Option<u64>,
    fence_floor: FencingToken,
    pending: Vec<PendingWrite>,
    phase: LeasePhase,
    /// Until when a holder that the row does not name may use its lease.
    quiet_until: Option<Instant>,
    settings: LeaseSettings,
    needs_read: bool,
    writes: u64,
}

impl LeaseCore {
    /// What the lease allows now; `None` if this process does not hold it, or if it has expired by its own
    /// clock. The clock must be read right before an order is sent.
    pub fn hold(&self, now: Instant) -> Option<LeaseHold> {
        let LeasePhase::Holding(held) = &self.phase else {
            return None;
        };
        (now < held.hold.until).then_some(held.hold)
    }

    /// A lease that nobody is known to hold.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            epoch: None,
            fence_floor: 0,
            pending: Vec::new(),
            phase: LeasePhase::Following(None),
            quiet_until: None,
            settings,
            needs_read: false,
            writes: 0,
        }
    }

    /// Records the epoch of the platform's rows. After a rise the row may be gone, or name an earlier holder with an
    /// earlier token: this process stops holding the lease, and waits for as long as another one may go on holding it.
    pub fn note_epoch(&mut self, epoch: u64, now: Instant) {
        let before = self.epoch.replace(epoch).unwrap_or(epoch);
        self.fence_floor = self.fence_floor.max(epoch.saturating_mul(TOKENS_PER_EPOCH));
        if epoch == before {
            return;
        }
        self.pending.clear();
        self.phase = LeasePhase::Following(None);
        self.quiet_until = Some(now + add_drift_margin(self.settings.life));
    }

    /// Handles one event and returns the next action.
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

    /// Takes the lease with a fencing token greater than `fence` and than all that upstreams have reported.
    fn acquire(
        &mut self,
        now: Instant,
        version: u64,
        fence: FencingToken,
        unchecked_from: Instant,
    ) -> LeaseAction {
        let mut unchecked_from = unchecked_from;
        if let Some(quiet_until) = self.quiet_until {
            if now < quiet_until {
                return LeaseAction::Wait;
            }
            let longest_order = add_drift_margin(self.settings.longest_order);
            unchecked_from = unchecked_from.max(quiet_until + longest_order);
        }
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

    /// Becomes the holder by a write that took effect.
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

    /// Handles a row that names another process as the holder.
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

    /// Handles a row that names this process as the holder.
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
        // A forgotten write took effect after all. Its waiting time is no longer known, so the longest one
        // applies.
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
        // An earlier holder's order may be in progress, so the next holder must wait for this lease to expire.
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

    /// Renews the lease with the same fencing token if that is due; acquires it again if it has expired.
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
