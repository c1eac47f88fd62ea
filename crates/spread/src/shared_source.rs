//! The operators' routes and the list of upstreams, read from the store or requested from an
//! instance that has read it.

mod joining;
mod remembering;
mod requesting;
mod route_sharing;

use {
    crate::{
        DirectoryView, JournalPosition, ListMirror, ListReader, MemberDirectory, MemberRegistry,
        MemberRow, NOTE_TAG, NoteExchange, NoteServer, NoteStore, PLACE_TAG, PlaceExchange,
        PlaceServer, ReadFailure, ReadStep, ReaderElection, ReportOrigin, ReportWatcher,
        SPREAD_TAG, SoftwareDirectory, SpreadServer, SpreadState, SpreadTimes, USAGE_TAG,
        UsageExchange, UsageServer, VersionKeeper,
    },
    kernel::{InstanceId, LockRank, RankedLock, WorkerPool, steady_clock},
    peer::{PeerEndpoint, PeerKeys},
    plat::{PlatError, RowStore},
    policy::{AgedReport, CrashReport, StoreVersion},
    relay::{
        CallReason, FleetView, OperatorSource, PlaceClient, QuotaBuckets, RateNews, ReaderRole,
        RelayCounts, ReportBatch, ReportCursor, RouteFreshness, RouteSnapshot, RouteUpdate,
        SchedulerHost, SoftwareNotes, SourceError, UpstreamChanges, UpstreamSnapshot,
        operator_source::SilentSnafu,
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

/// Delay after an instance that has no update, or an old one. That instance retries at this
/// interval itself.
const NO_UPDATE_DELAY: Duration = Duration::from_millis(300);
/// Delay after an instance that did not answer.
const NO_ANSWER_DELAY: Duration = Duration::from_millis(20);

/// A source that requests updates from the zone's reader first, and reads the store if the reader
/// does not answer.
#[derive(Debug)]
pub struct SharedSource<S> {
    /// Notified when a request from another instance changes the next step.
    changed: Arc<Notify>,
    counts: RelayCounts,
    directory: MemberDirectory<S>,
    /// The latest era of the store that an update named; `None` before the first one.
    era: RankedLock<Option<u64>>,
    endpoint: PeerEndpoint,
    report_watcher: Arc<ReportWatcher<S>>,
    /// When the routes in force were last known to be the newest.
    freshness: RouteFreshness,
    list: ListReader<S>,
    /// Whether the whole system starts for the first time.
    first_start: bool,
    /// `None` before the directory was read.
    join: RankedLock<Option<JoinState>>,
    keys: PeerKeys,
    members: MemberRegistry,
    mirror: RankedLock<ListMirror>,
    rates: RateNews,
    reader: ReaderRole,
    /// The instance that the crash reports came from, and the position in its journal. Two
    /// instances may have the same incarnation number.
    report_position: RankedLock<Option<(InstanceId, JournalPosition)>>,
    /// When the next read may begin; `None` for at once.
    cooldown_end: RankedLock<Option<Instant>>,
    store: Arc<S>,
    times: SpreadTimes,
    versions: VersionKeeper<S>,
}

/// How a request to another instance ended.
#[derive(Debug)]
enum RequestOutcome {
    /// An update.
    Update(UpstreamSnapshot),
    /// No answer, or none that helps: try the next source.
    NoAnswer(SourceError),
    /// The instance has no update; wait for it.
    NoUpdate(SourceError),
    /// A part of the list.
    Partial,
}

/// The directory as this incarnation of the instance has read it.
#[derive(Debug)]
struct JoinState {
    /// Whether the store came back from an older copy since then: rows may be gone or old.
    is_restored: bool,
    /// When it was last read, or a read was attempted.
    tried_at: Instant,
    view: DirectoryView,
}

#[bon::bon]
impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// A source that has read nothing yet. It answers other instances from now on.
    #[builder]
    pub fn new(
        counts: RelayCounts,
        directory_store: Arc<S>,
        endpoint: PeerEndpoint,
        first_start: bool,
        fleet: FleetView,
        freshness: RouteFreshness,
        keys: PeerKeys,
        note_store: Arc<S>,
        own: MemberRow,
        places: Option<PlaceClient>,
        pool: &WorkerPool,
        quarantine: Duration,
        quotas: QuotaBuckets,
        rates: RateNews,
        reader: ReaderRole,
        report_wait: Duration,
        schedulers: SchedulerHost,
        software: SoftwareNotes,
        store: Arc<S>,
        times: SpreadTimes,
    ) -> Self {
        let election = ReaderElection::new(own.instance.clone(), own.zone.clone(), times);
        let (state, _) = watch::channel(SpreadState::new(
            endpoint.incarnation(),
            own.zone.clone(),
            quarantine,
        ));
        let members = MemberRegistry {
            addresses: endpoint.addresses().clone(),
            own: own.clone(),
            election: Arc::new(RankedLock::new(LockRank::Members, election)),
            state: Arc::new(state),
            fleet,
        };
        let changed = Arc::new(Notify::new());
        let server = SpreadServer {
            changed: changed.clone(),
            members: members.clone(),
            pool: pool.clone(),
            rates: rates.clone(),
            times,
        };
        pool.spawn(server.run(endpoint.register(SPREAD_TAG)));
        let usage = UsageServer::new(endpoint.incarnation(), members.clone(), quotas);
        pool.spawn(usage.clone().serve(endpoint.register(USAGE_TAG)));
        pool.spawn(UsageExchange::new(usage, endpoint.clone()).run());
        let stored = NoteStore::open(note_store, own.zone.clone(), counts.clone(), pool);
        let notes = NoteServer {
            notes: software.clone(),
            stored: stored.clone(),
        };
        pool.spawn(notes.run(endpoint.register(NOTE_TAG)));
        if let Some(jobs) = software.open() {
            let fleet = members.fleet.clone();
            let exchange = NoteExchange::new(endpoint.clone(), fleet, own.clone(), stored);
            pool.spawn(exchange.run(jobs));
        }
        schedulers.begin_at(endpoint.incarnation());
        let place_server = PlaceServer {
            host: schedulers.clone(),
        };
        pool.spawn(place_server.run(endpoint.register(PLACE_TAG)));
        pool.spawn(schedulers.clone().run());
        if let Some(client) = places
            && let Some(jobs) = client.open()
        {
            let exchange = PlaceExchange::builder()
                .client(client)
                .endpoint(endpoint.clone())
                .fleet(members.fleet.clone())
                .host(schedulers)
                .own(own.clone())
                .build();
            pool.spawn(exchange.run(jobs));
        }
        let report_watcher = Arc::new(ReportWatcher {
            after: RankedLock::new(LockRank::Readings, None),
            epoch: RankedLock::new(LockRank::Samples, None),
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
            directory: MemberDirectory::new(directory_store.clone(), own),
            era: RankedLock::new(LockRank::Samples, None),
            endpoint,
            first_start,
            report_watcher,
            freshness,
            list: ListReader::new(store.clone()),
            join: RankedLock::new(LockRank::Samples, None),
            keys,
            members,
            mirror: RankedLock::new(LockRank::Readings, ListMirror::default()),
            rates,
            reader,
            report_position: RankedLock::new(LockRank::Readings, None),
            cooldown_end: RankedLock::new(LockRank::Readings, None),
            store,
            times,
            versions: VersionKeeper::new(SoftwareDirectory::new(directory_store), software),
        }
    }
}

impl<S: OperatorSource + RowStore> SharedSource<S> {
    fn record_failure(&self, failure: ReadFailure) {
        self.members
            .state
            .send_modify(|state| state.record_failure(failure, steady_clock::now()));
    }

    /// Reads the list from the store, and the directory when it is due.
    async fn read_store(&self) -> Result<UpstreamSnapshot, SourceError> {
        let began = steady_clock::now();
        let reason = self.members.election.lock().call_reason();
        let snapshot = with_timeout(self.times.read_timeout, self.list.read(reason));
        let (snapshot, ()) = tokio::join!(snapshot, self.report_watcher.read_first());
        let now = steady_clock::now();
        let mut snapshot = match snapshot {
            Ok(snapshot) => snapshot,
            Err(error) => {
                let mut election = self.members.election.lock();
                election.record_store_failure(began, now);
                drop(election);
                let state = &self.members.state;
                state.send_modify(|state| state.note_failed_read(began));
                self.record_failure(match now >= began + self.times.read_timeout {
                    true => ReadFailure::TimedOut,
                    false => ReadFailure::Refused,
                });
                return Err(error);
            }
        };
        self.write_versions(&mut snapshot.records).await;
        self.members.election.lock().record_store_read(began);
        self.members
            .state
            .send_modify(|state| state.apply_store_list(&snapshot, began));
        self.note_era(snapshot.version);
        snapshot.as_of = Some(began);
        snapshot.failed_at = self.members.state.borrow().failed_at();
        snapshot.waited = true;
        self.refresh(now, true, Some(&snapshot.records)).await;
        Ok(snapshot)
    }

    /// Delays the next read after an answer with no update or an old one, but not beyond the time
    /// at which this instance is due to try the store.
    fn start_cooldown(&self, turn: Option<Instant>) {
        let end = steady_clock::now() + NO_UPDATE_DELAY;
        *self.cooldown_end.lock() = Some(turn.map_or(end, |turn| turn.min(end)));
    }

    /// Waits until the delay is over or something changes.
    async fn wait_cooldown(&self) {
        let Some(end) = self.cooldown_end.lock().take() else {
            return;
        };
        tokio::select! {
            () = sleep_until(Some(end)) => {}
            () = self.changed.notified() => {}
        }
    }

    /// Limits a call to the store to the read timeout.
    async fn with_read_timeout<T>(
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
        let have = after.map(|after| JournalPosition {
            incarnation: after.epoch,
            revision: after.position,
        });
        // Without an update the caller asks for the same position again.
        let _ = time::timeout(
            wait,
            state.wait_for(|state| state.reports.has_updates(have)),
        )
        .await;
        let update = state
            .borrow()
            .reports
            .updates_since(have, steady_clock::now());
        Ok(ReportBatch {
            next: Some(ReportCursor {
                epoch: update.position.incarnation,
                position: update.position.revision,
            }),
            reports: update.reports,
            removed: Vec::new(),
        })
    }

    async fn write_reports(&self, reports: &[CrashReport]) -> Result<(), SourceError> {
        let reports_now: Vec<AgedReport> = reports.iter().cloned().map(AgedReport::new).collect();
        let is_new =
            self.members
                .merge_reports(&reports_now, ReportOrigin::Instance, steady_clock::now());
        if is_new {
            // The report goes out with the next request to the reader; send that at once.
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
        let can_read = |state: &SpreadState| state.reads_store || state.routes.is_some();
        // The sender lives as long as `self`.
        let _ = state.wait_for(can_read).await;
        if let Some(table) = self.peer_routes() {
            return Ok(table);
        }
        let snapshot =
            with_timeout(self.times.read_timeout, self.store.read_routes(reason)).await?;
        self.keep_routes(&snapshot);
        Ok(snapshot)
    }

    async fn read_changes(
        &self,
        after: StoreVersion,
        reason: CallReason,
    ) -> Result<Option<UpstreamChanges>, SourceError> {
        let changes = self.store.read_changes(after, reason);
        with_timeout(self.times.read_timeout, changes).await
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
                    limit,
                    peer,
                    turn,
                } => {
                    let outcome = tokio::select! {
                        outcome = self.request_update(peer, is_immediate, limit) => outcome,
                        () = self.changed.notified() => {
                            self.counts.note_peer_read("dropped");
                            continue;
                        }
                        () = sleep_until(turn) => {
                            self.counts.note_peer_read("dropped");
                            continue;
                        }
                    };
                    match outcome {
                        RequestOutcome::Update(snapshot) => {
                            self.note_era(snapshot.version);
                            let now = steady_clock::now();
                            if self.members.election.lock().is_first(now) {
                                self.refresh(now, false, None).await;
                            }
                            if self.members.election.lock().is_stale(now) {
                                self.start_cooldown(turn);
                            }
                            return Ok(snapshot);
                        }
                        RequestOutcome::NoAnswer(error) => {
                            failed = Some(error);
                            // An instance that is starting may need a moment until it can answer.
                            time::sleep(NO_ANSWER_DELAY).await;
                        }
                        RequestOutcome::NoUpdate(error) => {
                            self.start_cooldown(turn);
                            return Err(error);
                        }
                        // The other parts are requested next.
                        RequestOutcome::Partial => {}
                    }
                }
                ReadStep::Wait(until) => {
                    if let Some(error) = failed.take() {
                        return Err(error);
                    }
                    let left = until.saturating_duration_since(steady_clock::now());
                    // The next step is chosen again in either case.
                    let _ = time::timeout(left, self.changed.notified()).await;
                }
                ReadStep::ReadStore => match self.read_store().await {
                    Ok(snapshot) => return Ok(snapshot),
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
        let route_update = tokio::select! {
            route_update = watching => route_update?,
            // The store no longer answers this instance. A hanging watch must not keep it from what
            // other instances know.
            _ = state.wait_for(|state| !state.reads_store) => {
                return Ok(RouteUpdate::Unchanged(after, None));
            }
        };
        match &route_update {
            RouteUpdate::Changed(snapshot) => self.keep_routes(snapshot),
            RouteUpdate::Unchanged(_, Some(as_of)) => self.note_unchanged(*as_of),
            RouteUpdate::HistoryLost | RouteUpdate::Unchanged(_, None) => {}
        }
        Ok(route_update)
    }
}

/// Waits until a time of the steady clock; forever without one.
async fn sleep_until(moment: Option<Instant>) {
    let Some(moment) = moment else {
        return std::future::pending().await;
    };
    time::sleep(moment.saturating_duration_since(steady_clock::now())).await;
}

/// Limits a call to the store to `limit`.
pub(crate) async fn with_timeout<T>(
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
