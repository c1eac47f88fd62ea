//! Which report of an upstream is the newest, where the store may carry out an older one after it. Free of I/O; times are
//! passed in.
//!
//! The reports of a process are numbered. A report with a lower number than the last one is late, and so is one of a
//! process that has left, if by its number it was written before. A process at another address or with another id counts
//! anew. The time of a report is estimated from its number and the heartbeat interval, which is wrong for upstreams that
//! don't count failed reports. Therefore a process that has left counts as back once its number rises further, and a
//! report that stays in the list for longer than a late one can counts as current.

use {
    crate::{
        UpstreamRecord,
        report_mark::{MAX_WRITE_DELAY, ReportMark},
    },
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Two readings that are further apart may have a removal of the row between them.
const MAX_READING_GAP: Duration = Duration::from_secs(3);
/// How long a process that has left is remembered.
const RETENTION: Duration = Duration::from_secs(60);

/// The newest numbered reports, by the name of the upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportOrder {
    heartbeat: Duration,
    names: BTreeMap<Arc<str>, NameReports>,
}

/// A report that was taken for a late one.
#[derive(Clone, Copy, Debug)]
struct LateReport {
    /// The number at first.
    number: u64,
    seen_at: Instant,
    since: Instant,
}

/// The newest reports under one name.
#[derive(Clone, Debug)]
struct NameReports {
    /// The process that reported last.
    last: ReportMark,
    /// The late report that the list has under this name; `None` while it has a current one.
    late: Option<LateReport>,
    /// The process before it.
    previous: Option<ReportMark>,
}

impl ReportOrder {
    /// Sets the interval at which upstreams report.
    pub(crate) fn set_heartbeat(&mut self, heartbeat: Duration) {
        self.heartbeat = heartbeat;
    }

    /// Checks a report of the list. Returns the process whose last report stays in force if this one is late.
    pub(crate) fn superseding(
        &mut self,
        record: &UpstreamRecord,
        now: Instant,
    ) -> Option<UpstreamId> {
        let Some(number) = record.report_number else {
            // The order of reports without a number is unknown: the last one written counts.
            self.names.remove(&record.name);
            return None;
        };
        let Some(reports) = self.names.get_mut(&record.name) else {
            let reports = NameReports::new(ReportMark::new(record, number, now));
            self.names.insert(record.name.clone(), reports);
            return None;
        };
        if reports.is_late(record, number, self.heartbeat, now) {
            let late = LateReport::following(reports.late, number, now);
            reports.late = Some(late);
            let is_back = number > late.number && reports.last.is_exceeded(record, number);
            if !is_back && now.saturating_duration_since(late.since) <= MAX_WRITE_DELAY {
                return Some(reports.last.id.clone());
            }
        }
        reports.advance(record, number, now);
        None
    }

    /// Records that the list no longer has a process.
    pub(crate) fn note_left(&mut self, record: &UpstreamRecord, now: Instant) {
        let Some(reports) = self.names.get_mut(&record.name) else {
            return;
        };
        if reports.last.is_of(record) {
            reports.last.note_left(now);
        }
    }

    /// Forgets the processes that left long ago.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_kept = |mark: &ReportMark| {
            let left_at = mark.left_at();
            left_at.is_none_or(|left_at| now.saturating_duration_since(left_at) < RETENTION)
        };
        self.names.retain(|_, reports| {
            reports.previous = reports.previous.take().filter(is_kept);
            is_kept(&reports.last)
        });
    }
}

impl LateReport {
    /// A late report that the list has now, and had before unless it lapsed in between.
    fn following(before: Option<Self>, number: u64, now: Instant) -> Self {
        let before = before
            .filter(|before| now.saturating_duration_since(before.seen_at) <= MAX_READING_GAP);
        match before {
            Some(before) => Self {
                seen_at: now,
                ..before
            },
            None => Self {
                number,
                seen_at: now,
                since: now,
            },
        }
    }
}

impl NameReports {
    fn new(last: ReportMark) -> Self {
        Self {
            last,
            late: None,
            previous: None,
        }
    }

    fn is_late(
        &self,
        record: &UpstreamRecord,
        number: u64,
        heartbeat: Duration,
        now: Instant,
    ) -> bool {
        let mut marks = [Some(&self.last), self.previous.as_ref()]
            .into_iter()
            .flatten();
        let mark = marks.find(|mark| mark.is_of(record));
        mark.is_some_and(|mark| mark.is_late(number, heartbeat, now))
    }

    /// Records a report that is not late.
    fn advance(&mut self, record: &UpstreamRecord, number: u64, now: Instant) {
        self.late = None;
        if self.last.is_of(record) {
            self.last.advance(number, now);
            return;
        }
        self.last.note_left(now);
        let next = ReportMark::new(record, number, now);
        self.previous = Some(std::mem::replace(&mut self.last, next));
    }
}
