//! Follows the reports of ended upstreams in the store, while this instance reads the store for others.

use {
    crate::{ReportOrigin, SpreadState},
    policy::CrashReport,
    relay::{OperatorSource, ReportMark, ReportReading},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time},
};

/// The pause after a failure: that of a reading of the list.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How often an instance that does not read the store drops what no longer counts: what is left longer does no harm.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);
/// The store takes so many rows in one transaction.
const MOST_REMOVALS: usize = 100;

/// Reads the reports for all who ask this instance, and removes those from the store that are too old to count.
#[derive(Debug)]
pub struct ReportFollower<S> {
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
    /// Follows for as long as it is not dropped.
    pub async fn run(self) {
        let mut after: Option<ReportMark> = None;
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
            let watching = self.store.watch_reports(after, self.wait);
            match time::timeout(self.wait + self.read_limit, watching).await {
                Ok(Ok(reading)) => {
                    after = reading.next;
                    self.take(&reading).await;
                }
                Ok(Err(error)) => {
                    tracing::info!(%error, "the reports of ended upstreams can't be read");
                    time::sleep(RETRY_PAUSE).await;
                }
                Err(_) => tracing::info!("no answer on the reports of ended upstreams in time"),
            }
        }
    }

    /// Drops the reports that no longer count; gives them.
    fn forget(&self) -> Vec<CrashReport> {
        let mut old = Vec::new();
        self.state.send_if_modified(|state| {
            old = state.reports.forget(Instant::now());
            false
        });
        old
    }

    async fn take(&self, reading: &ReportReading) {
        let now = Instant::now();
        self.state.send_if_modified(|state| {
            state
                .reports
                .take(&reading.reports, ReportOrigin::Above, now)
        });
        let old = self.forget();
        for reports in old.chunks(MOST_REMOVALS) {
            if let Err(error) = self.store.drop_reports(reports).await {
                tracing::info!(%error, "old reports of ended upstreams are left in the store");
            }
        }
    }
}
