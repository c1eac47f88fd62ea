//! The operators' routes and the list of upstreams, from the store or from an instance that has read it.

mod joining;
mod requesting;
mod route_sharing;

use {
    crate::{
        DirectoryView, JournalPosition, ListMirror, MemberDirectory, MemberRegistry, MemberRow,
        ReadFailure, ReadStep, ReaderElection, ReportOrigin, ReportWatcher, SPREAD_TAG,
        SpreadServer, SpreadState, SpreadTimes, USAGE_TAG, UsageExchange, UsageServer,
    },
    kernel::{InstanceId, LockRank, RankedLock, WorkerPool, steady_clock},
    peer::{PeerEndpoint, PeerKeys},
    plat::{PlatError, RowStore},
    policy::{AgedReport, CrashReport},
    relay::{
        CallReason, OperatorSource, QuotaBuckets, ReaderRole, RelayCounts, ReportBatch,
        ReportCursor, RouteFreshness, RouteSnapshot, RouteUpdate, SourceError, StoreVersion,
        UpstreamSnapshot, ZoneSize, operator_source::SilentSnafu,
    },
    std::{
        sync::{Arc, atomic::AtomicBool},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, watch},
        time,
    },
};

/// The pause after an instance that has no news, or old ones: it looks for new ones with pauses of this length itself.
const NO_UPDATE_DELAY: Duration = Duration::from_millis(300);
/// The pause after an instance that gave no answer.
const NO_ANSWER_DELAY: Duration = Duration::from_millis(20);

/// A source that asks the zone's reader first, and the store where that gives no answer.
#[derive(Debug)]
pub struct SharedSource<S> {
    /// Rung when the next step changes by what another instance asked.
    changed: Arc<Notify>,
    counts: RelayCounts,
    directory: MemberDirectory<S>,
    endpoint: PeerEndpoint,
    report_watcher: Arc<ReportWatcher<S>>,
    /// As of when the routes in force are known to be the newest.
    freshness: RouteFreshness,
    /// Whether the last_full_request system starts for the first time.
    first_start: bool,
    /// None before the directory was read.
    join: RankedLock<Option<JoinState>>,
    keys: PeerKeys,
    members: MemberRegistry,
    mirror: RankedLock<ListMirror>,
    reader: ReaderRole,
    /// Whose reports this instance has, and up to where. Two readers may have the same number of their life.
    report_position: RankedLock<Option<(InstanceId, JournalPosition)>>,
    /// When the next reading may begin; none for at once.
    cooldown_end: RankedLock<Option<Instant>>,
    store: Arc<S>,
    times: SpreadTimes,
}

/// How a question to another instance ended.
#[derive(Debug)]
enum RequestOutcome {
    /// It answered with what it knows.
    Update(UpstreamSnapshot),
    /// It gave no answer, or none that helps: go on.
    NoAnswer(SourceError),
    /// It has no news, and is waited for.
    NoUpdate(SourceError),
    /// It answered with a part of its list.
    Partial,
}

/// The directory as this life of the instance has read it.
#[derive(Debug)]
struct JoinState {
    /// When it was read or tried_at last.
    tried_at: Instant,
    view: DirectoryView,
}

#[bon::bon]
impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// A source that has read nothing, and answers others from now on.
    #[builder]
    pub fn new(
        counts: RelayCounts,
        directory_store: Arc<S>,
        endpoint: PeerEndpoint,
        first_start: bool,
        freshness: RouteFreshness,
        keys: PeerKeys,
        own: MemberRow,
        pool: &WorkerPool,
        quarantine: Duration,
        quotas: QuotaBuckets,
        reader: ReaderRole,
        report_wait: Duration,
        store: Arc<S>,
        times: SpreadTimes,
        zone_size: ZoneSize,
    ) -> Self {
        let election = ReaderElection::new(own.instance.clone(), own.zone.clone(), times);
        let (state, _) = watch::channel(SpreadState::new(
            endpoint.incarnation(),
            own.zone.clone(),
            quarantine,
        ));
        let members = MemberRegistry {
            addresses: endpoint.book().clone(),
            own: own.clone(),
            election: Arc::new(RankedLock::new(LockRank::Members, election)),
            state: Arc::new(state),
            zone_size,
        };
        let changed = Arc::new(Notify::new());
        let server = SpreadServer {
            changed: changed.clone(),
            members: members.clone(),
            pool: pool.clone(),
            times,
        };
        pool.spawn(server.run(endpoint.register(SPREAD_TAG)));
        let uses = UsageServer::new(endpoint.incarnation(), members.clone(), quotas);
        pool.spawn(uses.clone().serve(endpoint.register(USAGE_TAG)));
        pool.spawn(UsageExchange::new(uses, endpoint.clone()).run());
        let report_watcher = Arc::new(ReportWatcher {
            after: RankedLock::new(LockRank::Readings, None),
            has_started: AtomicBool::new(false),
            read_timeout: times.read_timeout,
            state: members.state.clone(),
            store: store.clone(),
            wait: report_wait,
        });
        pool.spawn(report_watcher.clone().run());
        pool.spawn(report_watcher.clone().write_missing());
        Self {
            changed,
            counts,
            directory: MemberDirectory::new(directory_store, own),
            endpoint,
            first_start,
            report_watcher,
            freshness,
            join: RankedLock::new(LockRank::Samples, None),
            keys,
            members,
            mirror: RankedLock::new(LockRank::Readings, ListMirror::default()),
            reader,
            report_position: RankedLock::new(LockRank::Readings, None),
            cooldown_end: RankedLock::new(LockRank::Readings, None),
            store,
            times,
        }
    }
}

impl<S: OperatorSource + RowStore> SharedSource<S> {
    fn record_failure(&self, failure: ReadFailure) {
        self.members
            .state
            .send_modify(|state| state.record_failure(failure, steady_clock::now()));
    }

    /// Reads the list from the store, and the directory when it is time.
    async fn read_store(&self) -> Result<UpstreamSnapshot, SourceError> {
        let began = steady_clock::now();
        let reason = self.members.election.lock().call_reason();
        let reading = with_timeout(self.times.read_timeout, self.store.read_upstreams(reason));
        let (reading, ()) = tokio::join!(reading, self.report_watcher.read_first());
        let now = steady_clock::now();
        let mut reading = match reading {
            Ok(reading) => reading,
            Err(error) => {
                self.members.election.lock().record_store_failure(now);
                self.record_failure(match now >= began + self.times.read_timeout {
                    true => ReadFailure::TimedOut,
                    false => ReadFailure::Refused,
                });
                return Err(error);
            }
        };
        self.members.election.lock().record_store_read(began);
        self.members
            .state
            .send_modify(|state| state.apply_store_list(&reading, began));
        reading.as_of = Some(began);
        reading.waited = true;
        self.refresh(now, true).await;
        Ok(reading)
    }

    /// The next reading begins after a rest, since the last answer had no news, or old ones; not beyond the turn of this instance.
    fn start_cooldown(&self, turn: Option<Instant>) {
        let end = steady_clock::now() + NO_UPDATE_DELAY;
        *self.cooldown_end.lock() = Some(turn.map_or(end, |turn| turn.min(end)));
    }

    /// Waits for the end of a rest, unless something changes.
    async fn wait_cooldown(&self) {
        let Some(end) = self.cooldown_end.lock().take() else {
            return;
        };
        tokio::select! {
            () = sleep_until(Some(end)) => {}
            () = self.changed.notified() => {}
        }
    }

    /// What the store answers within a time.
    async fn within<T>(
        &self,
        answer: impl Future<Output = Result<T, PlatError>>,
    ) -> Result<T, SourceError> {
        match time::timeout(self.times.read_timeout, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(silent_error(error.to_string())),
            Err(_) => Err(silent_error("no answer in time")),
        }
    }
}

impl<S: OperatorSource + RowStore> OperatorSource for SharedSource<S> {
    async fn drop_reports(&self, reports: &[CrashReport]) -> Result<(), SourceError> {
        with_timeout(self.times.read_timeout, self.store.drop_reports(reports)).await
    }

    async fn watch_reports(
        &self,
        after: Option<ReportCursor>,
        wait: Duration,
    ) -> Result<ReportBatch, SourceError> {
        let mut state = self.members.state.subscribe();
        let life = state.borrow().reports.position().life;
        let have = after.map(|revision| JournalPosition { life, revision });
        // Without news the same mark is asked for again.
        let _ = time::timeout(
            wait,
            state.wait_for(|state| state.reports.has_updates(have)),
        )
        .await;
        let news = state
            .borrow()
            .reports
            .updates_since(have, steady_clock::now());
        Ok(ReportBatch {
            next: Some(news.position.revision),
            reports: news.reports,
        })
    }

    async fn write_reports(&self, reports: &[CrashReport]) -> Result<(), SourceError> {
        let reports_now: Vec<AgedReport> = reports.iter().cloned().map(AgedReport::new).collect();
        let is_news =
            self.members
                .merge_reports(&reports_now, ReportOrigin::Instance, steady_clock::now());
        if is_news {
            // The instance that is asked learns them with the next question: that goes out at once.
            self.changed.notify_one();
        }
        with_timeout(self.times.read_timeout, self.store.write_reports(reports)).await?;
        self.members.state.send_if_modified(|state| {
            state.reports.mark_stored(reports);
            false
        });
        Ok(())
    }

    async fn read_routes(&self, reason: CallReason) -> Result<RouteSnapshot, SourceError> {
        let mut state = self.members.state.subscribe();
        let may_begin = |state: &SpreadState| state.reads_store || state.routes.is_some();
        // The sender lives as long as this.
        let _ = state.wait_for(may_begin).await;
        if let Some(book) = self.peer_routes() {
            return Ok(book);
        }
        let reading = with_timeout(self.times.read_timeout, self.store.read_routes(reason)).await?;
        self.keep_routes(&reading);
        Ok(reading)
    }

    async fn read_upstreams(&self, _reason: CallReason) -> Result<UpstreamSnapshot, SourceError> {
        if self.join.lock().is_none() {
            self.join_with_backoff().await?;
        }
        self.wait_cooldown().await;
        let mut failed: Option<SourceError> = None;
        loop {
            let step = self.members.election.lock().choose(steady_clock::now());
            self.reader.set(!matches!(step, ReadStep::AskPeer { .. }));
            match step {
                ReadStep::AskPeer {
                    is_immediate,
                    from,
                    limit,
                    turn,
                } => {
                    let end = tokio::select! {
                        end = self.request_update(from, is_immediate, limit) => end,
                        () = self.changed.notified() => {
                            self.counts.note_peer_read("dropped");
                            continue;
                        }
                        () = sleep_until(turn) => {
                            self.counts.note_peer_read("dropped");
                            continue;
                        }
                    };
                    match end {
                        RequestOutcome::Update(reading) => {
                            let now = steady_clock::now();
                            if self.members.election.lock().is_first(now) {
                                self.refresh(now, false).await;
                            }
                            if self.members.election.lock().is_stale(now) {
                                self.start_cooldown(turn);
                            }
                            return Ok(reading);
                        }
                        RequestOutcome::NoAnswer(error) => {
                            failed = Some(error);
                            // One that starts as well may need a moment until it can answer.
                            time::sleep(NO_ANSWER_DELAY).await;
                        }
                        RequestOutcome::NoUpdate(error) => {
                            self.start_cooldown(turn);
                            return Err(error);
                        }
                        // The rest is asked for.
                        RequestOutcome::Partial => {}
                    }
                }
                ReadStep::Wait(until) => {
                    if let Some(error) = failed.take() {
                        return Err(error);
                    }
                    let left = until.saturating_duration_since(steady_clock::now());
                    // Either way the next step is chosen anew.
                    let _ = time::timeout(left, self.changed.notified()).await;
                }
                ReadStep::ReadStore => match self.read_store().await {
                    Ok(reading) => return Ok(reading),
                    Err(error) => failed = Some(error),
                },
            }
        }
    }

    async fn watch_routes(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<RouteUpdate, SourceError> {
        let reads_store = self.members.state.borrow().reads_store;
        if !reads_store {
            return Ok(self.wait_for_routes(after, wait).await);
        }
        let watching = self.store.watch_routes(after, wait);
        let watching = with_timeout(wait + self.times.read_timeout, watching);
        let mut state = self.members.state.subscribe();
        let news = tokio::select! {
            news = watching => news?,
            // The store no longer answers this instance. A watch that hangs must not keep it from what others know.
            _ = state.wait_for(|state| !state.reads_store) => {
                return Ok(RouteUpdate::Unchanged(after, None));
            }
        };
        match &news {
            RouteUpdate::Changed(reading) => self.keep_routes(reading),
            RouteUpdate::Unchanged(_, Some(as_of)) => self.note_unchanged(*as_of),
            RouteUpdate::HistoryLost | RouteUpdate::Unchanged(_, None) => {}
        }
        Ok(news)
    }
}

/// Waits for a moment of the steady clock; for ever without one.
async fn sleep_until(moment: Option<Instant>) {
    let Some(moment) = moment else {
        return std::future::pending().await;
    };
    time::sleep(moment.saturating_duration_since(steady_clock::now())).await;
}

/// What the store answers within a time.
async fn with_timeout<T>(
    limit: Duration,
    answer: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    match time::timeout(limit, answer).await {
        Ok(outcome) => outcome,
        Err(_) => Err(silent_error("no answer in time")),
    }
}

fn silent_error(detail: impl Into<String>) -> SourceError {
    SilentSnafu {
        detail: detail.into(),
    }
    .build()
}
