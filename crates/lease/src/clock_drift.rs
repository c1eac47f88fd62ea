//! Margins for monotonic clocks that run at different rates.

use std::time::Duration;

/// The most that a monotonic clock may run fast or slow, parts in a million.
pub const DRIFT_PPM: u32 = 10_000;
const MILLION: u32 = 1_000_000;

/// What a holder may use of a duration: by any other clock it is then no longer than the [`add_drift_margin`] one.
pub fn subtract_drift_margin(duration: Duration) -> Duration {
    duration - margin(duration)
}

/// What whoever waits for the end of another's duration has to wait by its own clock.
pub fn add_drift_margin(duration: Duration) -> Duration {
    duration + margin(duration)
}

fn margin(duration: Duration) -> Duration {
    duration * DRIFT_PPM / MILLION
}
