//! A monotonic clock that also advances while the host is suspended.
//!
//! `CLOCK_MONOTONIC`, which [`Instant`] uses, stops during a suspension. Measured by it, an expired lease would still
//! be valid after the host resumes, an old list would count as fresh, and the time that a caller spent waiting would
//! not count against its deadline.

use {
    rustix::time::{ClockId, Timespec, clock_gettime},
    std::{
        sync::{
            OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

static OWN_COUNT: SuspendCount = SuspendCount::new();

/// Derives how long the host has been suspended from two clock readings.
#[derive(Debug)]
pub struct SuspendCount {
    /// The difference of the two clocks at the first reading, nanoseconds.
    before: OnceLock<u64>,
    /// The greatest difference seen since then, nanoseconds. The two clocks can't be read at the same instant, and a
    /// delay between the readings makes the difference smaller, so the greatest value is the most accurate.
    longest: AtomicU64,
}

impl SuspendCount {
    /// Creates a count without a reference reading.
    pub const fn new() -> Self {
        Self {
            before: OnceLock::new(),
            longest: AtomicU64::new(0),
        }
    }

    /// Returns the total suspended time since the first call; never decreases. `counting` is read from a clock that
    /// includes suspensions, `steady` from one that does not.
    pub fn note(&self, counting: Duration, steady: Duration) -> Duration {
        let all = counting.saturating_sub(steady).as_nanos();
        let all = u64::try_from(all).unwrap_or(u64::MAX);
        let own = all.saturating_sub(*self.before.get_or_init(|| all));
        let before = self.longest.fetch_max(own, Ordering::Relaxed);
        Duration::from_nanos(before.max(own))
    }
}

impl Default for SuspendCount {
    fn default() -> Self {
        Self::new()
    }
}

/// The time since an instant of this clock; zero for an instant in the future.
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

/// The current instant: [`Instant::now`] plus the time that the host was suspended since the first call.
pub fn now() -> Instant {
    // In this order a delay between the two readings makes the suspended time shorter, never longer.
    let counting = since_boot(ClockId::Boottime);
    let steady = since_boot(ClockId::Monotonic);
    Instant::now() + OWN_COUNT.note(counting, steady)
}

fn since_boot(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u64::try_from(tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
