//! Rate limit on an instance's calls to the platform.

use std::time::{Duration, Instant};

/// The kinds of calls, each with its own rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Reads rows, objects or the list of instances.
    Read,
    /// Writes rows or objects.
    Write,
}

/// The rate and burst of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRate {
    /// The maximum number of calls at once.
    pub burst: f64,
    /// Calls per second.
    pub per_second: f64,
}

/// Token buckets for reads and writes. They do no I/O: the caller passes the time and does the waiting.
#[derive(Clone, Debug)]
pub struct CallBudget {
    reads: TokenBucket,
    writes: TokenBucket,
}

impl CallBudget {
    /// Full buckets with these rates.
    pub fn new(now: Instant, reads: CallRate, writes: CallRate) -> Self {
        Self {
            reads: TokenBucket::new(now, reads),
            writes: TokenBucket::new(now, writes),
        }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// How long to wait for the next one; `Duration::MAX` when the rate is zero.
    pub fn take(&mut self, now: Instant, kind: CallKind) -> Result<(), Duration> {
        match kind {
            CallKind::Read => self.reads.take(now),
            CallKind::Write => self.writes.take(now),
        }
    }
}

#[derive(Clone, Debug)]
struct TokenBucket {
    filled_at: Instant,
    level: f64,
    rate: CallRate,
}

impl TokenBucket {
    fn new(now: Instant, rate: CallRate) -> Self {
        Self {
            filled_at: now,
            level: rate.burst,
            rate,
        }
    }

    fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let filled = self.level + passed * self.rate.per_second;
        self.level = filled.min(self.rate.burst);
        self.filled_at = self.filled_at.max(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / self.rate.per_second;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
