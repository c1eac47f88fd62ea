//! When to call the store next: at a fixed interval while it answers, with exponential backoff
//! while it does not.
//!
//! If every instance retried at once, an outage would last longer, and every call is paid for.
//! Therefore one instance of each zone probes the store and the others wait for it.

use {
    kernel::{InstanceId, seeded_rng},
    relay::RECOVERY_NOTICE,
    std::time::{Duration, Instant},
};

/// Backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// Upper limit of the backoff before its jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Minimum pause after a call that took as long as the interval between two calls.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Fraction of the backoff that is randomised, so that instances that failed together do not retry
/// together.
const JITTER_FRACTION: f64 = 0.2;
/// Seed of the jitter.
const JITTER_SEED: u64 = 6;

/// Call schedule of one instance, based on how its own calls ended.
#[derive(Clone, Debug)]
pub struct StoreProbe {
    due: Option<Instant>,
    /// When a call failed last.
    failed: Option<Instant>,
    failures: u32,
    own: InstanceId,
    period: Duration,
}

impl StoreProbe {
    /// Records a failed call that began at `began`, and backs off. The next call begins within [`RECOVERY_NOTICE`] of
    /// that, however long the failed one took.
    pub fn record_failure(&mut self, began: Instant, now: Instant) {
        let doubled = INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.failed = Some(now);
        let key = format!("{} {}", self.own, self.failures);
        let fraction = seeded_rng::mix(JITTER_SEED, key.as_bytes()) as f64 / u64::MAX as f64;
        let backoff = doubled.min(MAX_BACKOFF);
        let due = now + backoff.mul_f64(1.0 - JITTER_FRACTION * fraction);
        self.due = Some(due.min(began + RECOVERY_NOTICE).max(now + MIN_PAUSE));
    }

    /// Ends the backoff growth after the store answered another instance's read that began after
    /// the last failure here: the outage is over. The scheduled call stays.
    pub fn record_peer_success(&mut self, began: Instant) {
        if self.failed.is_some_and(|failed| began > failed) {
            self.failures = 0;
        }
    }

    /// Number of failures since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the next call may be made now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.due.is_none_or(|due| now >= due)
    }

    /// A probe whose first call is due at once.
    pub fn new(own: InstanceId, period: Duration) -> Self {
        Self {
            due: None,
            failed: None,
            failures: 0,
            own,
            period,
        }
    }

    /// When the next call is due; `None` for at once.
    pub fn next_due(&self) -> Option<Instant> {
        self.due
    }

    /// Records an answered call; the next one is due one period after it began.
    pub fn record_success(&mut self, began: Instant) {
        self.failures = 0;
        self.due = Some(began + self.period);
    }
}
