//! How long a prefill engine takes for a prompt, by what this instance has seen of it.

use std::time::{Duration, Instant};

/// Before anything was seen: about what an engine of today takes for a token of an ordinary prompt, its first step
/// included. Corrected by the first reading.
const FIRST_PACE: Duration = Duration::from_micros(50);
/// A reading that takes longer than the pace tells of others in the queue; a little of it is taken as a slower engine, so
/// that an engine which turned slow is noticed.
const SLOWING: f64 = 1.03;
/// After so long, half of the wait that was seen is taken to be gone. The queue of an engine changes within a few readings.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(300);

/// The pace of one engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefillEstimate {
    /// Seconds for a token.
    pace: f64,
    /// Seconds that the last reading waited for the work of other instances.
    wait: f64,
    wait_at: Instant,
}

impl PrefillEstimate {
    /// How long the engine takes for so many tokens when nothing else waits there.
    pub fn unqueued(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.pace * tokens as f64)
    }

    /// How long a reading is expected to take, given the tokens of this instance that are to be read there, its own
    /// included.
    pub fn expected(&self, tokens: u64, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.wait_at);
        let left = 0.5_f64.powf(age.as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64());
        Duration::from_secs_f64(self.pace * tokens as f64 + self.wait * left)
    }

    /// A pace of which nothing was seen.
    pub fn new(now: Instant) -> Self {
        Self {
            pace: FIRST_PACE.as_secs_f64(),
            wait: 0.0,
            wait_at: now,
        }
    }

    /// A reading ended: so many tokens of this instance were to be read, and it took so long.
    pub fn note(&mut self, tokens: u64, took: Duration, now: Instant) {
        let took = took.as_secs_f64();
        let seen = took / tokens.max(1) as f64;
        self.pace = seen.min(self.pace * SLOWING);
        self.wait = (took - self.pace * tokens as f64).max(0.0);
        self.wait_at = now;
    }
}
