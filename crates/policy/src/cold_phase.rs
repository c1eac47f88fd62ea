//! The time during which an upstream is cold.

use {
    crate::TurnClock,
    std::time::{Duration, Instant},
};

/// A cold phase, in which each instance calls the upstream only in its turns.
#[derive(Clone, Copy, Debug)]
pub struct ColdPhase {
    /// The turns of this instance.
    pub turns: TurnClock,
    until: Instant,
}

impl ColdPhase {
    /// Extends the phase; it never ends sooner than before.
    pub fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// The time until the upstream is warm; zero when it is.
    pub fn left(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }

    /// A phase without any call yet.
    pub fn new(since: Instant, until: Instant) -> Self {
        Self {
            turns: TurnClock::new(since),
            until,
        }
    }
}
