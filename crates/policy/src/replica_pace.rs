//! How much slower than usual an upstream of a plain service answers this instance.

use std::time::{Duration, Instant};

/// The weight of one answer, which thus covers about four calls.
const ANSWER_WEIGHT: f64 = 0.25;
/// The half-life of a slowdown without new answers. A slow upstream thereby gets a trial request every few seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// The largest slowdown that one answer counts for, so that a single long request moves no calls.
const MAX_SAMPLE: f64 = 8.0;
/// Slowdowns up to this are ordinary: work differs between requests.
const USUAL_SLOWDOWN: f64 = 2.0;

/// The moving average of the duration of calls, as a multiple of what calls of the same kind of work usually take.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaPace {
    observed_at: Instant,
    slowdown: f64,
}

impl ReplicaPace {
    /// How much the slowdown exceeds an ordinary one; 0 without recent answers.
    pub fn excess(&self, now: Instant) -> f64 {
        (self.slowdown(now) - USUAL_SLOWDOWN).max(0.0)
    }

    /// Creates the pace of an upstream without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            observed_at: now,
            slowdown: 1.0,
        }
    }

    /// Records an answer that took `slowdown` times as long as usual.
    pub fn note(&mut self, slowdown: f64, now: Instant) {
        let before = self.slowdown(now);
        self.slowdown = before + (slowdown.min(MAX_SAMPLE) - before) * ANSWER_WEIGHT;
        self.observed_at = now;
    }

    /// The slowdown, which decays to 1.
    fn slowdown(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.observed_at);
        let left = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        1.0 + (self.slowdown - 1.0) * left
    }
}
