//! The newest report of one process of an upstream. Free of I/O; times are passed in.

use {
    crate::UpstreamRecord,
    kernel::UpstreamId,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// The longest time after which the store carries out a write that it has not answered, with the time for which the row of
/// a silent upstream stands.
pub(crate) const MAX_WRITE_DELAY: Duration = Duration::from_secs(10);

/// The longest time between two reports that is told from their numbers.
const MAX_SPAN: Duration = Duration::from_secs(86_400);

/// The newest report of a process, by its number.
#[derive(Clone, Debug)]
pub(crate) struct ReportMark {
    address: SocketAddr,
    pub(crate) id: UpstreamId,
    /// When the list no longer had the process; `None` while it has it.
    left_at: Option<Instant>,
    number: u64,
    /// When a report with this number was first seen.
    seen_at: Instant,
}

impl ReportMark {
    /// The mark of a process that is seen for the first time.
    pub(crate) fn new(record: &UpstreamRecord, number: u64, now: Instant) -> Self {
        Self {
            address: record.address,
            id: record.id.clone(),
            left_at: None,
            number,
            seen_at: now,
        }
    }

    /// Whether a report comes from this process.
    pub(crate) fn is_of(&self, record: &UpstreamRecord) -> bool {
        self.id == record.id && self.address == record.address
    }

    /// Whether a report of this process was written before its last one, or before it left. A number that is behind by
    /// more than a write can be delayed belongs to a new process at the same address.
    pub(crate) fn is_late(&self, number: u64, heartbeat: Duration, now: Instant) -> bool {
        if number < self.number {
            let behind = span(self.number - number, heartbeat);
            return now.saturating_duration_since(self.seen_at) + behind <= MAX_WRITE_DELAY;
        }
        let ahead = span(number - self.number, heartbeat);
        let is_newer = number > self.number;
        self.left_at
            .is_some_and(|left_at| is_newer && self.seen_at + ahead < left_at)
    }

    /// Whether a report of this process has a higher number than all before.
    pub(crate) fn is_exceeded(&self, record: &UpstreamRecord, number: u64) -> bool {
        self.is_of(record) && number > self.number
    }

    /// Records that the list no longer has the process.
    pub(crate) fn note_left(&mut self, now: Instant) {
        self.left_at.get_or_insert(now);
    }

    /// When the list no longer had the process; `None` while it has it.
    pub(crate) fn left_at(&self) -> Option<Instant> {
        self.left_at
    }

    /// Records a report that is not late.
    pub(crate) fn advance(&mut self, number: u64, now: Instant) {
        self.left_at = None;
        if number != self.number {
            self.number = number;
            self.seen_at = now;
        }
    }
}

/// The time between two reports whose numbers differ by `reports`; at most [`MAX_SPAN`], so that it can be added to a time.
fn span(reports: u64, heartbeat: Duration) -> Duration {
    let reports = u32::try_from(reports).unwrap_or(u32::MAX);
    heartbeat.saturating_mul(reports).min(MAX_SPAN)
}
