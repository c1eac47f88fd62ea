//! What the platform was asked.

use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// How long the window of a peak is.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// Counts of the platform's calls since it started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformCounters {
    /// Reads of the list of instances.
    pub list_reads: u64,
    /// Writes whose reply was lost on purpose.
    pub lost_replies: u64,
    /// The most reads within one second.
    pub peak_reads: u64,
    /// The most writes within one second.
    pub peak_writes: u64,
    /// Reads of rows, of prefixes, of objects and of the list.
    pub reads: u64,
    /// Transactions that met a conflict.
    pub transaction_conflicts: u64,
    /// Transactions that committed.
    pub transactions_committed: u64,
    /// Writes: transactions, objects and the list.
    pub writes: u64,
}

/// Counts calls by second, for the peak.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeakMeter {
    count: u64,
    peak: u64,
    since: Option<Instant>,
}

impl PeakMeter {
    /// Counts one call and says the peak so far.
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
