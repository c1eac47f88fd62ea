//! A load that others report late and that this process changes meanwhile.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How long before a report's time stamp the engine's books and ours may differ.
const BOOK_SKEW: Duration = Duration::from_millis(100);
/// How many changes are remembered; older ones are folded into one.
const HISTORY_LIMIT: usize = 256;

/// What we hold at an engine, and what others hold there by its last report.
///
/// A report tells the past: it is compared with what we held when it was taken, and only the difference counts
/// as foreign. What we granted or freed since then is in our own count.
#[derive(Clone, Debug, Default)]
pub struct LaggedLoad {
    foreign: u64,
    history: VecDeque<(Instant, u64)>,
    own: u64,
    taken: Option<Instant>,
}

impl LaggedLoad {
    /// We hold `amount` more from now on.
    pub fn add(&mut self, now: Instant, amount: u64) {
        self.own += amount;
        self.note(now);
    }

    /// What others hold there, by the last report.
    pub fn foreign(&self) -> u64 {
        self.foreign
    }

    /// What we hold there.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Takes a report in; one that is older than the last is left out. Whether it was taken in.
    pub fn report(&mut self, taken: Instant, used: u64) -> bool {
        if self.taken.is_some_and(|last| taken < last) {
            return false;
        }
        self.taken = Some(taken);
        self.foreign = used.saturating_sub(self.own_around(taken));
        true
    }

    /// We hold `amount` less from now on.
    pub fn sub(&mut self, now: Instant, amount: u64) {
        self.own = self.own.saturating_sub(amount);
        self.note(now);
    }

    /// What is held there now, as well as can be told.
    pub fn used(&self) -> u64 {
        self.own + self.foreign
    }

    fn note(&mut self, now: Instant) {
        if self.history.len() == HISTORY_LIMIT {
            self.history.pop_front();
        }
        self.history.push_back((now, self.own));
    }

    /// The most that we held shortly before a time.
    fn own_around(&mut self, taken: Instant) -> u64 {
        let from = taken.checked_sub(BOOK_SKEW).unwrap_or(taken);
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
