//! The state of one replica of a plain service.

use std::time::{Duration, Instant};

/// The longest backoff is the first one doubled this many times.
const DOUBLINGS_LIMIT: u32 = 5;

/// In-flight calls and consecutive failures of one replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaState {
    /// Whether it is draining.
    pub(crate) leaving: bool,
    /// In-flight calls.
    pub(crate) outstanding: u32,
    back_off_until: Option<Instant>,
    failures: u32,
    backoffs: u32,
}

impl ReplicaState {
    /// Records an answer: failures and backoff start again from zero.
    pub(crate) fn answered(&mut self) {
        self.failures = 0;
        self.backoffs = 0;
    }

    /// The end of the last backoff; `None` before the first.
    pub(crate) fn back_off_until(&self) -> Option<Instant> {
        self.back_off_until
    }

    /// Records a failure. The `limit`th in a row starts a backoff, twice as long as the one before.
    pub(crate) fn failed(&mut self, now: Instant, limit: u32, back_off: Duration) {
        self.failures += 1;
        if self.failures < limit {
            return;
        }
        self.failures = 0;
        let factor = 1 << self.backoffs.min(DOUBLINGS_LIMIT);
        self.backoffs += 1;
        self.back_off_until = Some(now + back_off * factor);
    }

    /// Whether it is in backoff now.
    pub(crate) fn is_backing_off(&self, now: Instant) -> bool {
        self.back_off_until.is_some_and(|until| now < until)
    }
}
