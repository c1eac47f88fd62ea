//! Crash reports (upstreams that ended while they ran a request) as an instance passes them on. No
//! I/O and no clock.
//!
//! Reports travel through the store and also directly between instances, since the store may be
//! down while requests crash upstreams.

use {
    crate::{JournalPosition, ReportUpdate},
    kernel::{Incarnation, UpstreamId},
    policy::{AgedReport, CrashMark, CrashReport, SuspectId},
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long a report that did not come from the store is included in requests to the reader. This
/// covers several requests, since the reader may change while the store answers only a few
/// instances.
const FORWARD_WINDOW: Duration = Duration::from_secs(5);

/// Maximum number of reports in one request: at about 40 bytes each a third of what a message may
/// have.
const MAX_FORWARDED: usize = 2_048;

/// Maximum number of reports kept; those made longest ago are evicted first. Every instance keeps
/// what all of them report.
const MAX_ROWS: usize = 16_384;

/// How long a reader waits for the instance that found a crash to write the report before writing
/// it itself.
const WRITE_GRACE: Duration = Duration::from_millis(500);

/// Source of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOrigin {
    /// Found by this instance or received from another one.
    Instance,
    /// Read from the store.
    Store,
}

#[derive(Clone, Copy, Debug)]
struct JournalRow {
    /// Whether the store is known to have it.
    is_stored: bool,
    /// When this instance learned of it. It is forwarded for [`FORWARD_WINDOW`] from then on.
    learned_at: Instant,
    mark: CrashMark,
    origin: ReportOrigin,
    revision: u64,
    /// When the report was made, as far as known.
    since: Instant,
}

/// Identifies a report.
type ReportKey = (SuspectId, UpstreamId);

/// Known reports; each has the revision of its last change.
#[derive(Clone, Debug)]
pub struct ReportJournal {
    retention: Duration,
    position: JournalPosition,
    rows: BTreeMap<ReportKey, JournalRow>,
}

impl ReportJournal {
    /// Removes and returns the reports that are older than the retention.
    pub fn expire(&mut self, now: Instant) -> Vec<CrashReport> {
        let retention = self.retention;
        let mut expired = Vec::new();
        self.rows.retain(|(suspect, upstream), row| {
            let is_expired = now.saturating_duration_since(row.since) >= retention;
            if is_expired {
                expired.push(CrashReport {
                    suspect: *suspect,
                    mark: row.mark,
                    upstream: upstream.clone(),
                });
            }
            !is_expired
        });
        expired
    }

    /// Whether an instance at this position lacks a report.
    pub fn has_updates(&self, have: Option<JournalPosition>) -> bool {
        match have.filter(|have| have.incarnation == self.position.incarnation) {
            Some(have) => self.position.revision > have.revision,
            None => !self.rows.is_empty(),
        }
    }

    /// Current position.
    pub fn position(&self) -> JournalPosition {
        self.position
    }

    /// An empty journal of this incarnation; reports expire after `retention`.
    pub fn new(incarnation: Incarnation, retention: Duration) -> Self {
        Self {
            retention,
            position: JournalPosition {
                incarnation,
                revision: 0,
            },
            rows: BTreeMap::new(),
        }
    }

    /// The reports that an instance at this position lacks.
    pub fn updates_since(&self, have: Option<JournalPosition>, now: Instant) -> ReportUpdate {
        let have = have.filter(|have| have.incarnation == self.position.incarnation);
        let have = have.map_or(0, |have| have.revision);
        let is_new = |row: &JournalRow| row.revision > have;
        ReportUpdate {
            position: self.position,
            reports: aged_reports(self.rows_where(is_new), now),
        }
    }

    /// Merges reports; returns whether any of them was new.
    pub fn apply(&mut self, reports: &[AgedReport], origin: ReportOrigin, now: Instant) -> bool {
        let revision = self.position.revision + 1;
        for AgedReport { age, report } in reports {
            if *age >= self.retention {
                continue;
            }
            let since = now.checked_sub(*age).unwrap_or(now);
            let key = (report.suspect, report.upstream.clone());
            let known = self.rows.get(&key).copied();
            if let Some(known) = known.filter(|known| known.mark >= report.mark) {
                if origin == ReportOrigin::Store && known.mark == report.mark {
                    self.mark_row_stored(&key);
                }
                continue;
            }
            self.position.revision = revision;
            let row = JournalRow {
                is_stored: origin == ReportOrigin::Store,
                learned_at: now,
                mark: report.mark,
                origin,
                revision,
                since: known.map_or(since, |known| known.since.min(since)),
            };
            self.rows.insert(key, row);
        }
        self.evict_oldest();
        self.position.revision == revision
    }

    /// Recent reports that the reader may not have, to be sent with a request; of too many, those
    /// learned last.
    pub fn to_forward(&self, now: Instant) -> Vec<AgedReport> {
        let is_recent = |row: &JournalRow| {
            row.origin == ReportOrigin::Instance
                && now.saturating_duration_since(row.learned_at) < FORWARD_WINDOW
        };
        let mut rows: Vec<_> = self.rows_where(is_recent).collect();
        if rows.len() > MAX_FORWARDED {
            rows.select_nth_unstable_by_key(MAX_FORWARDED, |(_, row)| Reverse(row.learned_at));
            rows.truncate(MAX_FORWARDED);
        }
        aged_reports(rows, now)
    }

    /// Reports that the store still lacks after a grace period: the instance that found the crash
    /// may be unable to write.
    pub fn unstored(&self, now: Instant) -> Vec<CrashReport> {
        let is_due = |row: &JournalRow| {
            !row.is_stored && now.saturating_duration_since(row.learned_at) >= WRITE_GRACE
        };
        let reports = aged_reports(self.rows_where(is_due), now).into_iter();
        reports.map(|aged| aged.report).collect()
    }

    /// Records that the store came back from an older copy, which may lack any report.
    pub fn note_restored(&mut self) {
        for row in self.rows.values_mut() {
            row.is_stored = false;
        }
    }

    /// Marks reports as stored.
    pub fn mark_stored(&mut self, reports: &[CrashReport]) {
        for report in reports {
            self.mark_row_stored(&(report.suspect, report.upstream.clone()));
        }
    }

    fn evict_oldest(&mut self) {
        let surplus = self.rows.len().saturating_sub(MAX_ROWS);
        if surplus == 0 {
            return;
        }
        let mut rows: Vec<_> = self
            .rows
            .iter()
            .map(|(key, row)| (row.since, key.clone()))
            .collect();
        rows.select_nth_unstable(surplus - 1);
        for (_, key) in &rows[..surplus] {
            self.rows.remove(key);
        }
    }

    fn mark_row_stored(&mut self, key: &ReportKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.is_stored = true;
        }
    }

    fn rows_where(
        &self,
        is_wanted: impl Fn(&JournalRow) -> bool,
    ) -> impl Iterator<Item = (&ReportKey, &JournalRow)> {
        self.rows.iter().filter(move |(_, row)| is_wanted(row))
    }
}

fn aged_reports<'a>(
    rows: impl IntoIterator<Item = (&'a ReportKey, &'a JournalRow)>,
    now: Instant,
) -> Vec<AgedReport> {
    let rows = rows.into_iter();
    let reports = rows.map(|((suspect, upstream), row)| AgedReport {
        age: now.saturating_duration_since(row.since),
        report: CrashReport {
            suspect: *suspect,
            mark: row.mark,
            upstream: upstream.clone(),
        },
    });
    reports.collect()
}
