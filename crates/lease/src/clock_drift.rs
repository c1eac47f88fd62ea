//! Margins for monotonic clocks that run at different rates.

use std::time::Duration;

/// The assumed maximum drift of a monotonic clock, in parts per million.
pub const DRIFT_PPM: u32 = 10_000;
const MILLION: u32 = 1_000_000;

/// The part of a duration that a lease holder may use. By any other clock it is no longer than the same
/// duration with [`add_drift_margin`].
pub fn subtract_drift_margin(duration: Duration) -> Duration {
    duration - margin(duration)
}

/// How long a process must wait by its own clock for a duration that another process measures.
pub fn add_drift_margin(duration: Duration) -> Duration {
    duration + margin(duration)
}

fn margin(duration: Duration) -> Duration {
    duration * DRIFT_PPM / MILLION
}
