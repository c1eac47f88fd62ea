//! What is known of one replica of a plain service.

use std::time::{Duration, Instant};

/// The longest back-off is the first one doubled this often.
const DOUBLINGS_LIMIT: u32 = 5;

/// Calls under way and recent failures of one replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaState {
    /// Whether it takes no new work.
    pub(crate) leaving: bool,
    /// Calls under way.
    pub(crate) outstanding: u32,
    back_off_until: Option<Instant>,
    failures: u32,
    rounds: u32,
}

impl ReplicaState {
    /// A call was answered: failures count from zero again.
    pub(crate) fn answered(&mut self) {
        self.failures = 0;
        self.rounds = 0;
    }

    /// Until when it is left out.
    pub(crate) fn back_off_until(&self) -> Option<Instant> {
        self.back_off_until
    }

    /// A call failed; the `limit`th in a row starts a back-off, each longer than the one before.
    pub(crate) fn failed(&mut self, now: Instant, limit: u32, back_off: Duration) {
        self.failures += 1;
        if self.failures < limit {
            return;
        }
        self.failures = 0;
        let factor = 1 << self.rounds.min(DOUBLINGS_LIMIT);
        self.rounds += 1;
        self.back_off_until = Some(now + back_off * factor);
    }

    /// Whether it is left out now.
    pub(crate) fn is_backing_off(&self, now: Instant) -> bool {
        self.back_off_until.is_some_and(|until| now < until)
    }
}
