//! The load of an engine, estimated from stale reports and from what this process has assigned since.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How long before the timestamp of a report the accounts of engine and process may already differ.
const ACCOUNTING_SKEW: Duration = Duration::from_millis(100);
/// How many changes of the own load are kept; the oldest are dropped first.
const HISTORY_LIMIT: usize = 256;

/// The load of this process at an engine, and the load of others by the last report of the engine.
///
/// A report describes the past. It is compared with the own load at the time it was taken, and only the difference
/// counts as foreign load. What was assigned or released since then is part of the own load.
#[derive(Clone, Debug, Default)]
pub struct LaggedLoad {
    foreign: u64,
    history: VecDeque<(Instant, u64)>,
    own: u64,
    taken: Option<Instant>,
}

impl LaggedLoad {
    /// Adds `amount` to the own load.
    pub fn add(&mut self, now: Instant, amount: u64) {
        self.own += amount;
        self.note(now);
    }

    /// The load of other processes, by the last report.
    pub fn foreign(&self) -> u64 {
        self.foreign
    }

    /// The load assigned by this process.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Applies a report; returns `false` and ignores it if it is older than the last one.
    pub fn report(&mut self, taken: Instant, used: u64) -> bool {
        if self.taken.is_some_and(|last| taken < last) {
            return false;
        }
        self.taken = Some(taken);
        self.foreign = used.saturating_sub(self.own_around(taken));
        true
    }

    /// Subtracts `amount` from the own load.
    pub fn sub(&mut self, now: Instant, amount: u64) {
        self.own = self.own.saturating_sub(amount);
        self.note(now);
    }

    /// The estimated current load.
    pub fn used(&self) -> u64 {
        self.own + self.foreign
    }

    fn note(&mut self, now: Instant) {
        if self.history.len() == HISTORY_LIMIT {
            self.history.pop_front();
        }
        self.history.push_back((now, self.own));
    }

    /// The greatest own load shortly before `taken`. The engine may release load later than this process does.
    fn own_around(&mut self, taken: Instant) -> u64 {
        let from = taken.checked_sub(ACCOUNTING_SKEW).unwrap_or(taken);
        while self.history.len() > 1 && self.history[1].0 <= from {
            self.history.pop_front();
        }
        let mut most = 0;
        for (index, (time, own)) in self.history.iter().enumerate() {
            if index > 0 && *time > taken {
                break;
            }
            most = most.max(*own);
        }
        most
    }
}
