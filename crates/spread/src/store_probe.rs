//! When the store is called next: a paced reading while it answers, and pauses that grow while it does not.
//!
//! Answers the load that an outage brings: each instance that tries again at once makes the store's return later, and
//! every call is paid for. An instance of each zone probes; the others wait for it.

use {
    kernel::{InstanceId, seeded_rng},
    std::time::{Duration, Instant},
};

/// The pause after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// The longest pause: the store's return is noticed within this and its jitter, which is in the bound on configuration.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// The share of a pause by which instances that failed together are spread.
const JITTER_FRACTION: f64 = 0.3;
/// The seed of the jitter.
const JITTER_SEED: u64 = 6;

/// The state of the store as one instance has seen it.
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
    /// A call failed.
    pub fn record_failure(&mut self, now: Instant) {
        let doubled = INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.failed = Some(now);
        let key = format!("{} {}", self.own, self.failures);
        let draw = seeded_rng::mix(JITTER_SEED, key.as_bytes()) as f64 / u64::MAX as f64;
        let pause = doubled.min(MAX_BACKOFF);
        self.due = Some(now + pause.mul_f64(1.0 - JITTER_FRACTION * draw));
    }

    /// The store answered another instance a reading that began at a moment: an outage before it is over.
    pub fn record_peer_success(&mut self, began: Instant) {
        if self.failed.is_some_and(|failed| began > failed) {
            self.failures = 0;
        }
    }

    /// How many calls have failed since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether it is time for a call.
    pub fn is_due(&self, now: Instant) -> bool {
        self.due.is_none_or(|due| now >= due)
    }

    /// A probe that has called nothing, and may at once.
    pub fn new(own: InstanceId, period: Duration) -> Self {
        Self {
            due: None,
            failed: None,
            failures: 0,
            own,
            period,
        }
    }

    /// When the next call is due; none for at once.
    pub fn next_due(&self) -> Option<Instant> {
        self.due
    }

    /// A call that began at a moment was answered.
    pub fn record_success(&mut self, began: Instant) {
        self.failures = 0;
        self.due = Some(began + self.period);
    }
}
