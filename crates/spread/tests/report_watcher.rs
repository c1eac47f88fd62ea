//! What an instance that reads the crash reports removes from the store.

use {
    kernel::{LockRank, RankedLock},
    policy::{AgedReport, CrashMark, CrashReport, StoreVersion, SuspectId},
    relay::{
        CallReason, OperatorSource, ReportBatch, ReportCursor, RouteSnapshot, RouteUpdate,
        SourceError, UpstreamChanges, UpstreamSnapshot,
    },
    spread::{ReportWatcher, SpreadState},
    std::{
        sync::{Arc, Mutex, atomic::AtomicBool},
        time::Duration,
    },
    tokio::{sync::watch, time},
};

const RETENTION: Duration = Duration::from_secs(600);
/// How long the store holds back an answer while nothing changes.
const WAIT: Duration = Duration::from_millis(20);
/// The number of reports that an instance keeps.
const MAX_REPORTS: usize = 16_384;

#[derive(Debug, Default)]
struct StoreState {
    /// The changes of rows, in order; the position of a reader is the number that it has read.
    changes: Vec<(CrashReport, bool)>,
    /// The number of calls to remove rows that are still refused.
    refusals: usize,
    removals: usize,
    rows: Vec<CrashReport>,
}

/// A store of crash reports alone.
#[derive(Debug, Default)]
struct ReportStore(Mutex<StoreState>);

impl ReportStore {
    fn row_count(&self) -> usize {
        self.0.lock().unwrap().rows.len()
    }
}

fn report(number: usize) -> CrashReport {
    CrashReport {
        mark: CrashMark::Early,
        suspect: SuspectId::prompt_part(&number.to_string()),
        upstream: format!("i-{number}").into(),
    }
}

impl OperatorSource for ReportStore {
    async fn drop_reports(&self, reports: &[CrashReport]) -> Result<(), SourceError> {
        let mut state = self.0.lock().unwrap();
        if state.refusals > 0 {
            state.refusals -= 1;
            return Err(SourceError::Refused { status: 503 });
        }
        state.removals += 1;
        let is_dropped = |row: &CrashReport| {
            let same = |report: &&CrashReport| {
                (report.suspect, &report.upstream) == (row.suspect, &row.upstream)
            };
            reports.iter().any(|report| same(&report))
        };
        state.rows.retain(|row| !is_dropped(row));
        for report in reports {
            let removed = CrashReport {
                mark: CrashMark::Cleared,
                ..report.clone()
            };
            state.changes.push((removed, true));
        }
        Ok(())
    }

    async fn read_changes(
        &self,
        _after: StoreVersion,
        _reason: CallReason,
    ) -> Result<Option<UpstreamChanges>, SourceError> {
        unimplemented!()
    }

    async fn read_routes(&self, _reason: CallReason) -> Result<RouteSnapshot, SourceError> {
        unimplemented!()
    }

    async fn read_upstreams(&self, _reason: CallReason) -> Result<UpstreamSnapshot, SourceError> {
        unimplemented!()
    }

    async fn watch_reports(
        &self,
        after: Option<ReportCursor>,
        wait: Duration,
    ) -> Result<ReportBatch, SourceError> {
        if after.is_some() {
            time::sleep(wait).await;
        }
        let state = self.0.lock().unwrap();
        let mut batch = ReportBatch {
            next: Some(ReportCursor {
                epoch: 1,
                position: state.changes.len() as u64,
            }),
            ..ReportBatch::default()
        };
        let Some(after) = after else {
            batch.reports = state.rows.iter().cloned().map(AgedReport::new).collect();
            return Ok(batch);
        };
        for (report, is_removed) in &state.changes[after.position as usize..] {
            match is_removed {
                true => batch.removed.push(report.clone()),
                false => batch.reports.push(AgedReport::new(report.clone())),
            }
        }
        Ok(batch)
    }

    async fn watch_routes(
        &self,
        _after: StoreVersion,
        _wait: Duration,
    ) -> Result<RouteUpdate, SourceError> {
        unimplemented!()
    }

    async fn write_reports(&self, _reports: &[CrashReport]) -> Result<(), SourceError> {
        Ok(())
    }
}

/// Starts an instance that reads the store.
fn start(store: Arc<ReportStore>) -> Arc<watch::Sender<SpreadState>> {
    let mut state = SpreadState::new(7, "z".into(), RETENTION);
    state.reads_store = true;
    let state = Arc::new(watch::Sender::new(state));
    let watcher = ReportWatcher {
        after: RankedLock::new(LockRank::Readings, None),
        epoch: RankedLock::new(LockRank::Samples, None),
        has_started: AtomicBool::new(false),
        read_timeout: Duration::from_secs(1),
        state: state.clone(),
        store,
        wait: WAIT,
    };
    tokio::spawn(Arc::new(watcher).run());
    state
}

/// Waits until the store has as many rows as an instance keeps.
async fn wait_for_bound(store: &ReportStore) {
    let is_bounded = async {
        while store.row_count() > MAX_REPORTS {
            time::sleep(WAIT).await;
        }
    };
    let waiting = time::timeout(Duration::from_secs(20), is_bounded).await;
    assert!(waiting.is_ok(), "{} rows", store.row_count());
}

// Guards against rows that nobody removes, since no instance keeps them: they return at each start.
#[tokio::test]
async fn the_store_keeps_no_more_reports_than_an_instance_also_when_it_refuses_at_first() {
    let store = Arc::new(ReportStore::default());
    let rows: Vec<CrashReport> = (0..MAX_REPORTS + 450).map(report).collect();
    {
        let mut state = store.0.lock().unwrap();
        state.rows = rows;
        state.refusals = 3;
    }
    let state = start(store.clone());
    wait_for_bound(&store).await;
    assert_eq!(store.row_count(), MAX_REPORTS);
    // The removals are read back, and cause no further ones.
    time::sleep(10 * WAIT).await;
    assert_eq!(store.row_count(), MAX_REPORTS);
    assert_eq!(store.0.lock().unwrap().removals, 5);
    let position = state.borrow().reports.position();
    assert_eq!(position.revision, 1, "removals are no reports");
}
