//! Keeps the routes and the list of upstreams up to date from the store.

use {
    crate::{
        CallReason, OperatorSource, RelayCore, ReportCursor, RouteSnapshot, RouteTable,
        RouteUpdate, SourceError, UpstreamDialect, UpstreamSnapshot, list_progress::ListProgress,
    },
    kernel::{UpstreamId, steady_clock},
    policy::{AgedReport, EvacuationSet, StoreVersion},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time},
};

/// Pause between two watches of the routes, so that edits in quick succession arrive together. It is a small part of
/// the bound within which an edit takes effect.
const EDIT_PAUSE: Duration = Duration::from_millis(200);

/// The interval within which an attempt to read a store that does not answer follows the one before, counted between
/// their starts. The recovery of the store is noticed within it.
pub const RECOVERY_NOTICE: Duration = Duration::from_millis(900);

/// A list that gets this many poll periods old before it is replaced is logged.
const LATE_PERIODS: u32 = 2;

/// Maximum backoff for writing reports to a store that is down; other instances still get the reports directly.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(5);

/// The times of a [`SourceWatch`].
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct WatchTimes {
    /// The minimum outage of the store after which upstreams missing from the list may have lapsed for want of
    /// heartbeats.
    pub lapse: Duration,
    /// Pause after a failed read of the list.
    pub list_retry: Duration,
    /// The poll interval of the list. A draining upstream gets no new work after this time and one call.
    pub list_period: Duration,
    /// Timeout of one read.
    pub read_limit: Duration,
    /// Pause after any other failure.
    pub retry_pause: Duration,
    /// How long one watch of the routes waits for a change.
    pub watch_wait: Duration,
}

/// Reads the store for the whole process.
#[derive(Debug)]
pub struct SourceWatch<D, S> {
    core: Arc<RelayCore<D>>,
    /// Notified when upstreams that the list lacks are kept for a grace period.
    grace_began: Notify,
    /// Notified when the store recovers after an outage, so that the routes are read at once.
    store_recovered: Notify,
    source: Arc<S>,
    times: WatchTimes,
}

impl<D: UpstreamDialect, S: OperatorSource> SourceWatch<D, S> {
    /// A watch that has read nothing yet.
    pub fn new(core: Arc<RelayCore<D>>, source: Arc<S>, times: WatchTimes) -> Self {
        Self {
            core,
            grace_began: Notify::new(),
            store_recovered: Notify::new(),
            source,
            times,
        }
    }

    /// Keeps the routes up to date.
    pub async fn watch_routes(&self) {
        let mut version: Option<StoreVersion> = None;
        let mut reason = CallReason::Start;
        loop {
            let outcome = match version {
                Some(after) => self.await_update(after).await,
                None => self.read_all_routes(reason).await,
            };
            reason = CallReason::Retry;
            match outcome {
                Ok(next) => {
                    self.core.counts.note_read("routes", "done");
                    version = next;
                    time::sleep(EDIT_PAUSE).await;
                }
                Err(error) => {
                    self.core.counts.note_read("routes", "failed");
                    tracing::info!(%error, "the routes can't be read");
                    version = None;
                    time::sleep(self.times.retry_pause).await;
                }
            }
        }
    }

    /// Keeps the reports of crashed upstreams up to date.
    pub async fn watch_reports(&self) {
        let wait = self.times.watch_wait;
        let limit = wait + self.times.read_limit;
        let mut after: Option<ReportCursor> = None;
        loop {
            let watching = time::timeout(limit, self.source.watch_reports(after, wait));
            let error = match watching.await {
                Ok(Ok(reading)) => {
                    after = reading.next;
                    // Merged even without reports, so that expired ones are removed.
                    let mut reports = reading.reports;
                    reports.extend(reading.removed.into_iter().map(AgedReport::new));
                    self.core.crashes.merge(&reports, steady_clock::now());
                    continue;
                }
                Ok(Err(error)) => error.to_string(),
                Err(_) => "no answer in time".to_owned(),
            };
            tracing::debug!(error, "the reports of crashed upstreams can't be read");
            time::sleep(self.times.retry_pause).await;
        }
    }

    /// Publishes the crashes that this instance detects.
    pub async fn write_reports(&self) {
        let mut pause = self.times.retry_pause;
        loop {
            let reports = self.core.crashes.take_unsent().await;
            match self.source.write_reports(&reports).await {
                Ok(()) => pause = self.times.retry_pause,
                Err(error) => {
                    tracing::info!(%error, "reports of crashed upstreams can't be written");
                    self.core.crashes.return_unsent(reports);
                    // A new report ends the backoff, so that other instances learn of it at once.
                    tokio::select! {
                        () = time::sleep(pause) => pause = (pause * 2).min(MAX_WRITE_PAUSE),
                        () = self.core.crashes.wait_unsent() => {}
                    }
                }
            }
        }
    }

    /// Keeps the list of upstreams up to date.
    pub async fn watch_upstreams(&self) {
        let mut clock = time::interval(self.times.list_period);
        clock.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut progress = ListProgress::default();
        let mut reason = CallReason::Start;
        loop {
            clock.tick().await;
            let began = steady_clock::now();
            let reading = self.source.read_upstreams(reason);
            let reading = time::timeout(self.times.read_limit, reading).await;
            let now = steady_clock::now();
            let error = match reading {
                Ok(Ok(reading)) => {
                    reason = CallReason::Period;
                    self.take_list(&mut progress, &reading, now);
                    if reading.waited {
                        clock.reset_immediately();
                    }
                    continue;
                }
                Ok(Err(error)) => error.to_string(),
                Err(_) => "no answer in time".to_owned(),
            };
            self.core.counts.note_read("upstreams", "failed");
            reason = CallReason::Retry;
            if progress.note_failure(began, now) {
                tracing::warn!(error, "the list of upstreams can't be read");
            }
            clock.reset_after(self.next_attempt(began, now));
        }
    }

    /// The pause after a failed reading.
    fn next_attempt(&self, began: Instant, now: Instant) -> Duration {
        let left = (began + RECOVERY_NOTICE).saturating_duration_since(now);
        self.times.list_retry.min(left)
    }

    /// Removes the upstreams that the list still lacks when their grace period ends.
    pub async fn end_graces(&self) {
        loop {
            self.grace_began.notified().await;
            loop {
                let end = self.core.upstreams.lock().grace_end();
                let left = end.map(|end| end.saturating_duration_since(steady_clock::now()));
                let Some(left) = left.filter(|left| !left.is_zero()) else {
                    break;
                };
                time::sleep(left).await;
            }
            let now = steady_clock::now();
            let gone = self.core.upstreams.lock().end_grace(now);
            if gone.is_empty() {
                continue;
            }
            tracing::info!(
                gone = gone.len(),
                "upstreams have not reported again after the outage"
            );
            self.forget_upstreams(&gone, now);
        }
    }

    /// Applies a list unless it is older than the last one.
    fn take_list(&self, progress: &mut ListProgress, reading: &UpstreamSnapshot, now: Instant) {
        let outcome = match reading.passed_on {
            true => "passed_on",
            false => "done",
        };
        self.core.counts.note_read("upstreams", outcome);
        let was_lost = progress.end_failures();
        if was_lost {
            tracing::info!("the store answers again");
            self.store_recovered.notify_one();
        }
        let Some(step) = progress.advance(reading, now) else {
            return;
        };
        let outage_end = progress.outage_end(reading, now);
        if step.is_restored {
            self.core.upstreams.lock().note_restored(outage_end);
        }
        if let Some(age) = step.age {
            self.note_list_age(age, reading);
        }
        for fault in progress.note_faults(&reading.faults) {
            tracing::warn!(fault, "a row of the list of upstreams can't be read");
        }
        let may_lapse = step.gap.is_some_and(|gap| gap >= self.times.lapse);
        let outage_ended = (was_lost && may_lapse).then_some(outage_end);
        self.apply_upstreams(reading, outage_ended, now);
    }

    async fn await_update(&self, after: StoreVersion) -> Result<Option<StoreVersion>, SourceError> {
        let wait = self.times.watch_wait;
        let limit = wait + self.times.read_limit;
        let watching = time::timeout(limit, self.source.watch_routes(after, wait));
        let news = tokio::select! {
            () = self.store_recovered.notified() => return Ok(None),
            news = watching => news,
        };
        match news {
            Ok(Ok(RouteUpdate::Changed(reading))) => Ok(Some(self.apply_snapshot(*reading))),
            Ok(Ok(RouteUpdate::HistoryLost)) | Err(_) => Ok(None),
            Ok(Ok(RouteUpdate::Unchanged(version, as_of))) => {
                self.note_unchanged(as_of);
                Ok(Some(version.max(after)))
            }
            Ok(Err(error)) => Err(error),
        }
    }

    async fn read_all_routes(
        &self,
        reason: CallReason,
    ) -> Result<Option<StoreVersion>, SourceError> {
        let reading = time::timeout(self.times.read_limit, self.source.read_routes(reason)).await;
        let reading = match reading {
            Ok(reading) => reading?,
            Err(_) => {
                return crate::operator_source::SilentSnafu {
                    detail: "no answer in time",
                }
                .fail();
            }
        };
        Ok(Some(self.apply_snapshot(reading)))
    }

    /// Records the age of the list when a newer one replaces it.
    fn note_list_age(&self, age: Duration, reading: &UpstreamSnapshot) {
        self.core.counts.note_list_age(age);
        if age >= self.times.list_period * LATE_PERIODS {
            tracing::info!(
                age_ms = age.as_millis() as u64,
                passed_on = reading.passed_on,
                version = reading.version.number,
                "the list of upstreams was late"
            );
        }
    }

    /// Records that the routes in force were still the newest at `as_of`, if the source knows.
    fn note_unchanged(&self, as_of: Option<Instant>) {
        let table = self.core.routes.load();
        if let Some((table, as_of)) = table.as_ref().zip(as_of) {
            self.core.freshness.note(table.version, as_of);
        }
    }

    /// Applies a snapshot of the routes and returns the version of the store to watch from.
    fn apply_snapshot(&self, reading: RouteSnapshot) -> StoreVersion {
        if let Some(evacuations) = &reading.evacuations {
            self.apply_evacuations(evacuations);
        }
        if let Some(table) = reading.table {
            self.apply_routes(table, reading.as_of);
        }
        reading.version
    }

    fn apply_evacuations(&self, evacuations: &EvacuationSet) {
        let mut upstreams = self.core.upstreams.lock();
        let change = upstreams.set_evacuations(evacuations, steady_clock::now());
        let is_all_evacuated = upstreams.is_all_evacuated();
        drop(upstreams);
        let settings = self.core.settings.load();
        for zone in &change.began {
            if settings.is_zone_unknown(zone) {
                tracing::warn!(%zone, "the evacuated availability zone does not exist");
            }
            tracing::info!(%zone, "the availability zone is evacuated");
        }
        for zone in &change.ended {
            tracing::info!(%zone, "the evacuation of the availability zone has ended");
        }
        if is_all_evacuated && !change.began.is_empty() {
            tracing::warn!("all upstreams are in evacuated availability zones");
        }
    }

    /// Logs the routes whose requests no availability zone may process.
    fn report_unservable(&self, table: &RouteTable) {
        let settings = self.core.settings.load();
        for route in table.routes() {
            let filter = settings.zone_filter([route.regions.as_ref()]);
            if !settings.regions.keys().any(|zone| filter.allows(zone)) && route.regions.is_some() {
                tracing::warn!(
                    route = %route.work,
                    regions = ?route.regions,
                    "no availability zone is in the regions that the route allows"
                );
            }
        }
    }

    fn apply_routes(&self, table: RouteTable, as_of: Option<Instant>) {
        if let Some(as_of) = as_of {
            self.core.freshness.note(table.version, as_of);
        }
        let before = self.core.routes.load().as_ref().map(|table| table.version);
        if before.is_some_and(|before| table.version <= before) {
            return;
        }
        tracing::info!(
            version = table.version,
            routes = table.route_count(),
            "routes in force"
        );
        let version = i64::try_from(table.version).unwrap_or(i64::MAX);
        self.core.counts.table_version.set(version);
        self.core.quotas.set_customers(&table);
        self.report_unservable(&table);
        self.core.forget_works(&table);
        self.core
            .upstreams
            .lock()
            .set_cold_rules(table.cold_rules());
        self.core.routes.store(Some(Arc::new(table)));
        self.core.open_when_ready();
    }

    fn apply_upstreams(
        &self,
        reading: &UpstreamSnapshot,
        outage_ended: Option<Instant>,
        now: Instant,
    ) {
        let count = i64::try_from(reading.records.len()).unwrap_or(i64::MAX);
        self.core.counts.upstreams.set(count);
        let mut upstreams = self.core.upstreams.lock();
        let gone = upstreams.replace(&reading.records, outage_ended, now);
        upstreams.set_list_time(reading.as_of.unwrap_or(now));
        let missing = upstreams.missing().count();
        drop(upstreams);
        if outage_ended.is_some() && missing > 0 {
            tracing::info!(
                missing,
                "upstreams that the list lacks are kept after the outage"
            );
        }
        if missing > 0 {
            self.grace_began.notify_one();
        }
        self.core.software.tell_untold();
        self.forget_upstreams(&gone, now);
        self.core.open_when_ready();
    }

    /// Drops what is kept about upstreams that are gone.
    fn forget_upstreams(&self, gone: &[UpstreamId], now: Instant) {
        for upstream in gone {
            self.core.counts.forget_upstream(upstream);
        }
        self.core.pool.sweep(now);
    }
}
