//! Follows the reports of ended upstreams in the store, while this instance reads the store for others.

use {
    crate::{ReportOrigin, SpreadState},
    kernel::{RankedLock, steady_clock},
    policy::CrashReport,
    relay::{OperatorSource, ReportBatch, ReportCursor},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, time},
};

/// How long the first reading of the list waits for that of the reports: an ordinary answer takes a few milliseconds, and a
/// store that is slower than this keeps no new life from serving.
const FIRST_LIMIT: Duration = Duration::from_millis(300);
/// The pause after a failure: that of a reading of the list.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How often an instance that does not read the store drops what no longer counts: what is left longer does no harm.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);
/// How often an instance that reads the store looks for what that lacks.
const WRITE_PERIOD: Duration = Duration::from_millis(500);
/// The store takes so many rows in one transaction.
const MOST_WRITES: usize = 100;

/// Reads the reports for all who ask this instance, and removes those from the store that are too old to count.
#[derive(Debug)]
pub struct ReportFollower<S> {
    /// Up to where they were read; none before the first time.
    pub after: RankedLock<Option<ReportCursor>>,
    /// Whether the first reading was tried.
    pub has_begun: AtomicBool,
    /// How long one reading of the store may take beyond its wait.
    pub read_limit: Duration,
    /// What is told to others.
    pub state: Arc<watch::Sender<SpreadState>>,
    /// The store.
    pub store: Arc<S>,
    /// How long one watch waits for news.
    pub wait: Duration,
}

impl<S: OperatorSource> ReportFollower<S> {
    /// Reads the reports beside the first list, so that a new life knows them before it serves, and those that it passes
    /// its list on to as well.
    pub async fn begin(&self) {
        if self.has_begun.swap(true, Ordering::Relaxed) {
            return;
        }
        let reading = self.store.watch_reports(None, self.wait);
        match time::timeout(FIRST_LIMIT, reading).await {
            Ok(Ok(reading)) => self.take(&reading),
            Ok(Err(error)) => {
                tracing::info!(%error, "the reports of ended upstreams can't be read")
            }
            Err(_) => tracing::info!("the reports of ended upstreams are not waited for"),
        }
    }

    /// Follows for as long as it is not dropped.
    pub async fn run(self: Arc<Self>) {
        let mut state = self.state.subscribe();
        loop {
            let turn = time::timeout(SWEEP_PERIOD, state.wait_for(|state| state.reads_store));
            match turn.await {
                Ok(Ok(_)) => {}
                Ok(Err(_)) => return,
                Err(_) => {
                    self.forget();
                    continue;
                }
            }
            let after = *self.after.lock();
            let watching = self.store.watch_reports(after, self.wait);
            match time::timeout(self.wait + self.read_limit, watching).await {
                Ok(Ok(reading)) => {
                    self.take(&reading);
                    self.drop_old().await;
                }
                Ok(Err(error)) => {
                    tracing::info!(%error, "the reports of ended upstreams can't be read");
                    time::sleep(RETRY_PAUSE).await;
                }
                Err(_) => tracing::info!("no answer on the reports of ended upstreams in time"),
            }
        }
    }

    /// Writes what the store lacks, for instances that it does not answer. Others that read the store know it by that alone.
    pub async fn write_missing(self: Arc<Self>) {
        let mut clock = time::interval(WRITE_PERIOD);
        clock.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            clock.tick().await;
            let missing = {
                let state = self.state.borrow();
                match state.reads_store {
                    true => state.reports.unstored(steady_clock::now()),
                    false => Vec::new(),
                }
            };
            for reports in missing.chunks(MOST_WRITES) {
                match time::timeout(self.read_limit, self.store.write_reports(reports)).await {
                    Ok(Ok(())) => self.note_stored(reports),
                    Ok(Err(error)) => {
                        tracing::info!(%error, "reports of ended upstreams can't be written");
                    }
                    Err(_) => tracing::info!("reports of ended upstreams are not written in time"),
                }
            }
        }
    }

    fn note_stored(&self, reports: &[CrashReport]) {
        self.state.send_if_modified(|state| {
            state.reports.stored(reports);
            false
        });
    }

    /// Removes what no longer counts, here and from the store.
    async fn drop_old(&self) {
        for reports in self.forget().chunks(MOST_WRITES) {
            if let Err(error) = self.store.drop_reports(reports).await {
                tracing::info!(%error, "old reports of ended upstreams are left in the store");
            }
        }
    }

    /// Drops the reports that no longer count; gives them.
    fn forget(&self) -> Vec<CrashReport> {
        let mut old = Vec::new();
        self.state.send_if_modified(|state| {
            old = state.reports.forget(steady_clock::now());
            false
        });
        old
    }

    fn take(&self, reading: &ReportBatch) {
        *self.after.lock() = reading.next;
        let now = steady_clock::now();
        self.state.send_if_modified(|state| {
            state
                .reports
                .take(&reading.reports, ReportOrigin::Store, now)
        });
    }
}
