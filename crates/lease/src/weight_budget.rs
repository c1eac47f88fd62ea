//! Rate limit on loads from the weight store.

use std::time::{Duration, Instant};

/// Token bucket, in bytes, for this instance's share of the weight store's rate.
#[derive(Debug)]
pub struct WeightBudget {
    burst: f64,
    available: f64,
    rate: f64,
    updated_at: Instant,
}

impl WeightBudget {
    /// A full bucket of `burst` bytes, refilled at `rate` bytes per second. `rate` must be positive.
    pub fn new(now: Instant, rate: f64, burst: f64) -> Self {
        Self {
            burst,
            available: burst,
            rate,
            updated_at: now,
        }
    }

    /// Takes the bytes of one load.
    ///
    /// A load larger than the burst is allowed when the bucket is full, and leaves a negative balance.
    ///
    /// # Errors
    ///
    /// How long to wait if the balance is too low; nothing is taken then.
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
