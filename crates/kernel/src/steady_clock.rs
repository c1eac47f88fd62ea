//! A clock that never goes back, and goes on while the machine is suspended.
//!
//! The system's usual steady clock stands still then. By it a lease that has lapsed still holds when the machine goes on, a
//! list that is seconds old is fresh, and a caller has all the time left that it has waited meanwhile.

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

/// Counts the time that a machine was suspended.
#[derive(Debug)]
pub struct SuspendCount {
    /// What the clocks differed by at first, nanoseconds.
    before: OnceLock<u64>,
    /// The most that was seen since then. Two clocks can't be read at one moment; the readings that came closest hold.
    longest: AtomicU64,
}

impl SuspendCount {
    /// Nothing is counted yet.
    pub const fn new() -> Self {
        Self {
            before: OnceLock::new(),
            longest: AtomicU64::new(0),
        }
    }

    /// The suspended time since the first reading, by a clock that counts it and one that does not.
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

/// How long ago a moment of this clock was.
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

/// This moment, later than the system's by the time that the machine was suspended since the process began.
pub fn now() -> Instant {
    // In this order a pause between the two readings makes the suspended time shorter, never longer.
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
