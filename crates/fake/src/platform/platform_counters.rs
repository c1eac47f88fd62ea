//! Counters of the platform.

use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Window over which peak rates are counted.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// Calls to the platform since it started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounters {
    /// Reads of the list of instances.
    pub list_reads: u64,
    /// Writes whose reply was dropped by a fault.
    pub lost_replies: u64,
    /// Highest number of reads within one second.
    pub peak_reads: u64,
    /// Highest number of writes within one second.
    pub peak_writes: u64,
    /// Reads of rows, prefixes, objects and the instance list.
    pub reads: u64,
    /// Transactions refused because a condition did not hold.
    pub transaction_conflicts: u64,
    /// Committed transactions.
    pub transactions_committed: u64,
    /// Writes of transactions, objects and the instance list.
    pub writes: u64,
}

/// Tracks the peak number of calls per window.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeakMeter {
    count: u64,
    peak: u64,
    since: Option<Instant>,
}

impl PeakMeter {
    /// Counts one call and returns the peak so far.
    pub(crate) fn count(&mut self, now: Instant) -> u64 {
        let ended = self
            .since
            .is_none_or(|since| now.saturating_duration_since(since) >= PEAK_WINDOW);
        if ended {
            self.since = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.peak = self.peak.max(self.count);
        self.peak
    }
}
