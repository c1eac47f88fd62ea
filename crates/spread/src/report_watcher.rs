//! Watches crash reports in the store while this instance reads the store for others.

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

/// How long the first read of the list waits for the crash reports. A normal answer takes a few
/// milliseconds, and a store slower than this must not delay a starting instance.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after a failure, as after a failed read of the list.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// How often an instance that does not read the store discards expired reports. Reports that stay
/// longer do no harm.
const EXPIRY_PERIOD: Duration = Duration::from_secs(60);
/// How often an instance that reads the store looks for reports that the store lacks.
const WRITE_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of rows that the store accepts in one transaction.
const MAX_TRANSACTION_ROWS: usize = 100;

/// Reads crash reports on behalf of the instances that request updates here, and removes expired
/// ones from the store.
#[derive(Debug)]
pub struct ReportWatcher<S> {
    /// Position up to which the reports were read; `None` before the first read.
    pub after: RankedLock<Option<ReportCursor>>,
    /// Epoch of the reports that were read last; `None` before the first read.
    pub epoch: RankedLock<Option<u64>>,
    /// Whether the first read was attempted.
    pub has_started: AtomicBool,
    /// How long a call to the store may take beyond the requested wait.
    pub read_timeout: Duration,
    /// State shared with other instances.
    pub state: Arc<watch::Sender<SpreadState>>,
    /// Where the reports are stored.
    pub store: Arc<S>,
    /// How long the store may hold back one watch while nothing changes.
    pub wait: Duration,
}

impl<S: OperatorSource> ReportWatcher<S> {
    /// Reads the reports in parallel with the first list, so that a starting instance knows them
    /// before it serves, and so do the instances it passes the list on to. Does nothing after the
    /// first call.
    pub async fn read_first(&self) {
        if self.has_started.swap(true, Ordering::Relaxed) {
            return;
        }
        let batch = self.store.watch_reports(None, self.wait);
        match time::timeout(FIRST_READ_TIMEOUT, batch).await {
            Ok(Ok(batch)) => self.apply(&batch),
            Ok(Err(error)) => {
                tracing::info!(%error, "failed to read crash reports")
            }
            Err(_) => {
                tracing::info!("crash reports were not read in time; continuing without them")
            }
        }
    }

    /// Watches the reports until the shared state is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut state = self.state.subscribe();
        loop {
            let waiting = time::timeout(EXPIRY_PERIOD, state.wait_for(|state| state.reads_store));
            match waiting.await {
                Ok(Ok(_)) => {}
                Ok(Err(_)) => return,
                Err(_) => {
                    self.expire();
                    continue;
                }
            }
            let after = *self.after.lock();
            let watching = self.store.watch_reports(after, self.wait);
            match time::timeout(self.wait + self.read_timeout, watching).await {
                Ok(Ok(batch)) => {
                    self.apply(&batch);
                    self.remove_surplus().await;
                }
                Ok(Err(error)) => {
                    tracing::info!(%error, "failed to read crash reports");
                    time::sleep(RETRY_DELAY).await;
                }
                Err(_) => tracing::info!("timed out watching crash reports"),
            }
        }
    }

    /// Writes reports that the store lacks on behalf of instances that cannot reach it. Other
    /// readers learn of them from the store only.
    pub async fn write_missing(self: Arc<Self>) {
        let mut interval = time::interval(WRITE_PERIOD);
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let missing = {
                let state = self.state.borrow();
                match state.reads_store {
                    true => state.reports.unstored(steady_clock::now()),
                    false => Vec::new(),
                }
            };
            for reports in missing.chunks(MAX_TRANSACTION_ROWS) {
                match time::timeout(self.read_timeout, self.store.write_reports(reports)).await {
                    Ok(Ok(())) => self.mark_stored(reports),
                    Ok(Err(error)) => {
                        tracing::info!(%error, "failed to write crash reports");
                    }
                    Err(_) => tracing::info!("timed out writing crash reports"),
                }
            }
        }
    }

    fn mark_stored(&self, reports: &[CrashReport]) {
        self.state.send_if_modified(|state| {
            state.reports.mark_stored(reports);
            false
        });
    }

    /// Removes the reports from the store that are too old or too many. What the store doesn't remove now is tried
    /// again after the next watch.
    async fn remove_surplus(&self) {
        let surplus = self.expire();
        for (index, reports) in surplus.chunks(MAX_TRANSACTION_ROWS).enumerate() {
            if let Err(error) = self.store.drop_reports(reports).await {
                tracing::info!(%error, "failed to remove crash reports from the store");
                let rest = &surplus[index * MAX_TRANSACTION_ROWS..];
                self.state.send_if_modified(|state| {
                    state.reports.return_surplus(rest);
                    false
                });
                return;
            }
        }
    }

    /// Discards the expired reports, and returns all that were discarded and may be in the store.
    fn expire(&self) -> Vec<CrashReport> {
        let mut surplus = Vec::new();
        self.state.send_if_modified(|state| {
            surplus = state.reports.expire(steady_clock::now());
            false
        });
        surplus
    }

    /// Records the epoch of reports; returns whether the store came back from an older copy since the last ones.
    fn note_epoch(&self, batch: &ReportBatch) -> bool {
        let Some(next) = batch.next else {
            return false;
        };
        let before = self.epoch.lock().replace(next.epoch);
        before.is_some_and(|before| next.epoch > before)
    }

    fn apply(&self, batch: &ReportBatch) {
        *self.after.lock() = batch.next;
        let is_restored = self.note_epoch(batch);
        let now = steady_clock::now();
        self.state.send_if_modified(|state| {
            if is_restored {
                state.reports.note_restored();
            }
            let is_new = state
                .reports
                .apply(&batch.reports, ReportOrigin::Store, now);
            state.reports.apply_removed(&batch.removed, now) || is_new
        });
    }
}
