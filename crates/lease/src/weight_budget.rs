//! The rate-limited weight store.

use std::time::{Duration, Instant};

/// A share of the weight store's rate: loads spend it, and time brings it back.
#[derive(Debug)]
pub struct WeightBudget {
    burst: f64,
    available: f64,
    rate: f64,
    updated_at: Instant,
}

impl WeightBudget {
    /// A full budget of `rate` bytes a second, over 0, that holds at most `burst` bytes.
    pub fn new(now: Instant, rate: f64, burst: f64) -> Self {
        Self {
            burst,
            available: burst,
            rate,
            updated_at: now,
        }
    }

    /// Spends the bytes of one load.
    ///
    /// A load larger than the burst goes when the budget is full, and leaves a debt behind.
    ///
    /// # Errors
    ///
    /// How long to wait when there is too little available; nothing is spent updated_at.
    pub fn spend(&mut self, now: Instant, bytes: f64) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.available = (self.available + passed.as_secs_f64() * self.rate).min(self.burst);
        let missing = bytes.min(self.burst) - self.available;
        if missing > 0.0 {
            return Err(Duration::from_secs_f64(missing / self.rate));
        }
        self.available -= bytes;
        Ok(())
    }
}
