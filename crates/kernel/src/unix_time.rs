//! Wall-clock conversions for timestamps exchanged between processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The duration since the Unix epoch; zero for a time before it.
pub fn since_epoch(time: SystemTime) -> Duration {
    time.duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The time in whole microseconds since the Unix epoch.
pub fn micros(time: SystemTime) -> u64 {
    u64::try_from(since_epoch(time).as_micros()).unwrap_or(u64::MAX)
}

/// The time in whole milliseconds since the Unix epoch.
pub fn millis(time: SystemTime) -> u64 {
    u64::try_from(since_epoch(time).as_millis()).unwrap_or(u64::MAX)
}
