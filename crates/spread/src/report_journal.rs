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

/// Maximum number of reports kept. Every instance keeps what all of them report. Reports of suspects
/// with few of them are evicted first, and of these the ones made longest ago.
const MAX_ROWS: usize = 16_384;

/// Maximum number of reports that wait to be removed from the store. Further ones stay there until
/// the reports are read in full.
const MAX_SURPLUS: usize = MAX_ROWS;

/// The number of reports that a suspect needs to be refused.
const MIN_CONVICTING_REPORTS: usize = 3;

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
    /// Evicted reports, which the store may have.
    surplus: Vec<CrashReport>,
}

impl ReportJournal {
    /// Removes and returns the reports that are older than the retention, and those evicted since the
    /// last call.
    pub fn expire(&mut self, now: Instant) -> Vec<CrashReport> {
        let retention = self.retention;
        let mut expired = std::mem::take(&mut self.surplus);
        // A report that was made again has to stay in the store.
        expired.retain(|report| !self.rows.contains_key(&key_of(report)));
        self.rows.retain(|key, row| {
            let is_expired = now.saturating_duration_since(row.since) >= retention;
            if is_expired {
                expired.push(report_of(key, row.mark));
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
            surplus: Vec::new(),
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
            let key = key_of(report);
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
        self.evict_least();
        self.position.revision == revision
    }

    /// Clears reports whose rows were removed from the store; returns whether any was known. A removal
    /// is no report: most often an instance discarded the row.
    pub fn apply_removed(&mut self, removed: &[CrashReport], now: Instant) -> bool {
        let known = removed
            .iter()
            .filter(|report| self.rows.contains_key(&key_of(report)));
        let known: Vec<AgedReport> = known.cloned().map(AgedReport::new).collect();
        self.apply(&known, ReportOrigin::Store, now)
    }

    /// Takes back reports that could not be removed from the store.
    pub fn return_surplus(&mut self, reports: &[CrashReport]) {
        let room = MAX_SURPLUS.saturating_sub(self.surplus.len());
        if reports.len() > room {
            let count = reports.len() - room;
            tracing::info!(
                count,
                "crash reports stay in the store until they are read in full"
            );
        }
        self.surplus.extend(reports.iter().take(room).cloned());
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
            self.mark_row_stored(&key_of(report));
        }
    }

    fn evict_least(&mut self) {
        let count = self.rows.len().saturating_sub(MAX_ROWS);
        if count == 0 {
            return;
        }
        let mut counts: BTreeMap<SuspectId, usize> = BTreeMap::new();
        for ((suspect, _), row) in &self.rows {
            *counts.entry(*suspect).or_default() += usize::from(row.mark != CrashMark::Cleared);
        }
        let is_convicting = |suspect| counts.get(suspect) >= Some(&MIN_CONVICTING_REPORTS);
        let mut rows: Vec<_> = self
            .rows
            .iter()
            .map(|(key, row)| (is_convicting(&key.0), row.since, key.clone()))
            .collect();
        rows.select_nth_unstable(count - 1);
        let mut evicted = Vec::new();
        for (_, _, key) in &rows[..count] {
            if let Some(row) = self.rows.remove(key) {
                evicted.push(report_of(key, row.mark));
            }
        }
        self.return_surplus(&evicted);
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

fn key_of(report: &CrashReport) -> ReportKey {
    (report.suspect, report.upstream.clone())
}

fn report_of((suspect, upstream): &ReportKey, mark: CrashMark) -> CrashReport {
    CrashReport {
        suspect: *suspect,
        mark,
        upstream: upstream.clone(),
    }
}

fn aged_reports<'a>(
    rows: impl IntoIterator<Item = (&'a ReportKey, &'a JournalRow)>,
    now: Instant,
) -> Vec<AgedReport> {
    let rows = rows.into_iter();
    let reports = rows.map(|(key, row)| AgedReport {
        age: now.saturating_duration_since(row.since),
        report: report_of(key, row.mark),
    });
    reports.collect()
}
