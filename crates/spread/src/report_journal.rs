//! The reports of upstreams that ended under requests, as an instance passes them on. No I/O and no clock.
//!
//! They go to the store and back, and from instance to instance as well: the store may be down while requests end upstreams.

use {
    crate::{ReadingMark, ReportNews},
    kernel::{Incarnation, UpstreamId},
    policy::{AgedReport, CrashMark, CrashReport, RequestFingerprint},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long an instance goes on telling those that it asks what it has not from the store: a few questions, since whom it
/// asks changes while the store answers few.
const TELL_UP: Duration = Duration::from_secs(5);

/// How long an instance that reads the store waits for whoever found something out to write it.
const STORE_PATIENCE: Duration = Duration::from_millis(500);

/// Where a report came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOrigin {
    /// From this instance or another one.
    Instance,
    /// From the store.
    Store,
}

#[derive(Clone, Copy, Debug)]
struct JournalRow {
    /// Whether the store has it.
    is_stored: bool,
    /// When it was learned; told on until a while after that.
    learned: Instant,
    mark: CrashMark,
    origin: ReportOrigin,
    revision: u64,
    since: Instant,
}

/// The reports, each with the revision of its last change.
#[derive(Clone, Debug)]
pub struct ReportJournal {
    counts_for: Duration,
    mark: ReadingMark,
    rows: BTreeMap<(RequestFingerprint, UpstreamId), JournalRow>,
}

impl ReportJournal {
    /// Drops the reports that no longer count; gives them.
    pub fn forget(&mut self, now: Instant) -> Vec<CrashReport> {
        let counts_for = self.counts_for;
        let mut gone = Vec::new();
        self.rows.retain(|(fingerprint, upstream), row| {
            let is_old = now.saturating_duration_since(row.since) >= counts_for;
            if is_old {
                gone.push(CrashReport {
                    fingerprint: *fingerprint,
                    mark: row.mark,
                    upstream: upstream.clone(),
                });
            }
            !is_old
        });
        gone
    }

    /// Whether there is something that one with this state has not.
    pub fn has_news(&self, have: Option<ReadingMark>) -> bool {
        match have.filter(|have| have.life == self.mark.life) {
            Some(have) => self.mark.revision > have.revision,
            None => !self.rows.is_empty(),
        }
    }

    /// The state of the journal.
    pub fn mark(&self) -> ReadingMark {
        self.mark
    }

    /// An empty journal of this life of the instance; a report counts for so long.
    pub fn new(life: Incarnation, counts_for: Duration) -> Self {
        Self {
            counts_for,
            mark: ReadingMark { life, revision: 0 },
            rows: BTreeMap::new(),
        }
    }

    /// What one with this state has not.
    pub fn news_since(&self, have: Option<ReadingMark>, now: Instant) -> ReportNews {
        let have = have.filter(|have| have.life == self.mark.life);
        let have = have.map_or(0, |have| have.revision);
        let is_new = |row: &JournalRow| row.revision > have;
        ReportNews {
            mark: self.mark,
            reports: self.aged(is_new, now),
        }
    }

    /// Takes reports in; whether any was new.
    pub fn take(&mut self, reports: &[AgedReport], origin: ReportOrigin, now: Instant) -> bool {
        let revision = self.mark.revision + 1;
        for AgedReport { age, report } in reports {
            if *age >= self.counts_for {
                continue;
            }
            let since = now.checked_sub(*age).unwrap_or(now);
            let key = (report.fingerprint, report.upstream.clone());
            let known = self.rows.get(&key).copied();
            if let Some(known) = known.filter(|known| known.mark >= report.mark) {
                if origin == ReportOrigin::Store && known.mark == report.mark {
                    self.note_stored(&key);
                }
                continue;
            }
            self.mark.revision = revision;
            let row = JournalRow {
                is_stored: origin == ReportOrigin::Store,
                learned: now,
                mark: report.mark,
                origin,
                revision,
                since: known.map_or(since, |known| known.since.min(since)),
            };
            self.rows.insert(key, row);
        }
        self.mark.revision == revision
    }

    /// What the instance that is asked may not know.
    pub fn to_tell(&self, now: Instant) -> Vec<AgedReport> {
        let is_fresh = |row: &JournalRow| {
            row.origin == ReportOrigin::Instance
                && now.saturating_duration_since(row.learned) < TELL_UP
        };
        self.aged(is_fresh, now)
    }

    /// What the store lacks although it was learned a while ago: whoever found it out may not be able to write.
    pub fn unstored(&self, now: Instant) -> Vec<CrashReport> {
        let is_due = |row: &JournalRow| {
            !row.is_stored && now.saturating_duration_since(row.learned) >= STORE_PATIENCE
        };
        let reports = self.aged(is_due, now).into_iter();
        reports.map(|aged| aged.report).collect()
    }

    /// The store has taken reports.
    pub fn stored(&mut self, reports: &[CrashReport]) {
        for report in reports {
            self.note_stored(&(report.fingerprint, report.upstream.clone()));
        }
    }

    fn note_stored(&mut self, key: &(RequestFingerprint, UpstreamId)) {
        if let Some(row) = self.rows.get_mut(key) {
            row.is_stored = true;
        }
    }

    fn aged(&self, wanted: impl Fn(&JournalRow) -> bool, now: Instant) -> Vec<AgedReport> {
        let rows = self.rows.iter().filter(|(_, row)| wanted(row));
        let reports = rows.map(|((fingerprint, upstream), row)| AgedReport {
            age: now.saturating_duration_since(row.since),
            report: CrashReport {
                fingerprint: *fingerprint,
                mark: row.mark,
                upstream: upstream.clone(),
            },
        });
        reports.collect()
    }
}
