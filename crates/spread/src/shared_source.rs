//! The operators' routes and the list of upstreams, from the store or from an instance that has read it.

mod asking;
mod joining;
mod passing;

use {
    crate::{
        DirectoryView, ListMirror, MemberBoard, MemberDirectory, MemberRow, ReadFailure, ReadStep,
        ReaderPlan, ReadingMark, ReportFollower, ReportOrigin, SPREAD_TAG, SpreadServer,
        SpreadState, SpreadTimes, USE_TAG, UseBoard, UseExchange,
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
const NO_NEWS_PAUSE: Duration = Duration::from_millis(300);
/// The pause after an instance that gave no answer.
const FAILED_PAUSE: Duration = Duration::from_millis(20);

/// A source that asks the zone's reader first, and the store where that gives no answer.
#[derive(Debug)]
pub struct SharedSource<S> {
    /// Rung when the next step changes by what another instance asked.
    changed: Arc<Notify>,
    counts: RelayCounts,
    directory: MemberDirectory<S>,
    endpoint: PeerEndpoint,
    follower: Arc<ReportFollower<S>>,
    /// As of when the routes in force are known to be the newest.
    freshness: RouteFreshness,
    /// Whether the whole system starts for the first time.
    first_start: bool,
    /// None before the directory was read.
    join: RankedLock<Option<JoinState>>,
    keys: PeerKeys,
    members: MemberBoard,
    mirror: RankedLock<ListMirror>,
    reader: ReaderRole,
    /// Whose reports this instance has, and up to where. Two readers may have the same number of their life.
    report_mark: RankedLock<Option<(InstanceId, ReadingMark)>>,
    /// When the next reading may begin; none for at once.
    rest_end: RankedLock<Option<Instant>>,
    store: Arc<S>,
    times: SpreadTimes,
}

/// How a question to another instance ended.
#[derive(Debug)]
enum AskEnd {
    /// It answered with what it knows.
    News(UpstreamSnapshot),
    /// It gave no answer, or none that helps: go on.
    NoAnswer(SourceError),
    /// It has no news, and is waited for.
    NoNews(SourceError),
    /// It answered with a part of its list.
    Part,
}

/// The directory as this life of the instance has read it.
#[derive(Debug)]
struct JoinState {
    /// When it was read or tried last.
    tried: Instant,
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
        let plan = ReaderPlan::new(own.instance.clone(), own.zone.clone(), times);
        let (state, _) = watch::channel(SpreadState::new(
            endpoint.incarnation(),
            own.zone.clone(),
            quarantine,
        ));
        let members = MemberBoard {
            book: endpoint.book().clone(),
            own: own.clone(),
            plan: Arc::new(RankedLock::new(LockRank::Members, plan)),
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
        let uses = UseBoard::new(endpoint.incarnation(), members.clone(), quotas);
        pool.spawn(uses.clone().serve(endpoint.register(USE_TAG)));
        pool.spawn(UseExchange::new(uses, endpoint.clone()).run());
        let follower = Arc::new(ReportFollower {
            after: RankedLock::new(LockRank::Readings, None),
            has_begun: AtomicBool::new(false),
            read_limit: times.read_limit,
            state: members.state.clone(),
            store: store.clone(),
            wait: report_wait,
        });
        pool.spawn(follower.clone().run());
        pool.spawn(follower.clone().write_missing());
        Self {
            changed,
            counts,
            directory: MemberDirectory::new(directory_store, own),
            endpoint,
            first_start,
            follower,
            freshness,
            join: RankedLock::new(LockRank::Samples, None),
            keys,
            members,
            mirror: RankedLock::new(LockRank::Readings, ListMirror::default()),
            reader,
            report_mark: RankedLock::new(LockRank::Readings, None),
            rest_end: RankedLock::new(LockRank::Readings, None),
            store,
            times,
        }
    }
}

impl<S: OperatorSource + RowStore> SharedSource<S> {
    fn note_failure(&self, failure: ReadFailure) {
        self.members
            .state
            .send_modify(|state| state.note_failure(failure, steady_clock::now()));
    }

    /// Reads the list from the store, and the directory when it is time.
    async fn read_store(&self) -> Result<UpstreamSnapshot, SourceError> {
        let began = steady_clock::now();
        let reason = self.members.plan.lock().reason();
        let reading = limited(self.times.read_limit, self.store.read_upstreams(reason));
        let (reading, ()) = tokio::join!(reading, self.follower.begin());
        let now = steady_clock::now();
        let mut reading = match reading {
            Ok(reading) => reading,
            Err(error) => {
                self.members.plan.lock().store_failed(now);
                self.note_failure(match now >= began + self.times.read_limit {
                    true => ReadFailure::Late,
                    false => ReadFailure::Refused,
                });
                return Err(error);
            }
        };
        self.members.plan.lock().store_read(began);
        self.members
            .state
            .send_modify(|state| state.take_list(&reading, began));
        reading.as_of = Some(began);
        reading.waited = true;
        self.refresh(now, true).await;
        Ok(reading)
    }

    /// The next reading begins after a rest, since the last answer had no news, or old ones; not beyond the turn of this instance.
    fn rest_until(&self, turn: Option<Instant>) {
        let end = steady_clock::now() + NO_NEWS_PAUSE;
        *self.rest_end.lock() = Some(turn.map_or(end, |turn| turn.min(end)));
    }

    /// Waits for the end of a rest, unless something changes.
    async fn end_rest(&self) {
        let Some(end) = self.rest_end.lock().take() else {
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
        match time::timeout(self.times.read_limit, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(silent(error.to_string())),
            Err(_) => Err(silent("no answer in time")),
        }
    }
}

impl<S: OperatorSource + RowStore> OperatorSource for SharedSource<S> {
    async fn drop_reports(&self, reports: &[CrashReport]) -> Result<(), SourceError> {
        limited(self.times.read_limit, self.store.drop_reports(reports)).await
    }

    async fn watch_reports(
        &self,
        after: Option<ReportCursor>,
        wait: Duration,
    ) -> Result<ReportBatch, SourceError> {
        let mut state = self.members.state.subscribe();
        let life = state.borrow().reports.mark().life;
        let have = after.map(|revision| ReadingMark { life, revision });
        // Without news the same mark is asked for again.
        let _ = time::timeout(wait, state.wait_for(|state| state.reports.has_news(have))).await;
        let news = state.borrow().reports.news_since(have, steady_clock::now());
        Ok(ReportBatch {
            next: Some(news.mark.revision),
            reports: news.reports,
        })
    }

    async fn write_reports(&self, reports: &[CrashReport]) -> Result<(), SourceError> {
        let reports_now: Vec<AgedReport> = reports.iter().cloned().map(AgedReport::new).collect();
        let is_news = self
            .members
            .learn(&reports_now, ReportOrigin::Instance, steady_clock::now());
        if is_news {
            // The instance that is asked learns them with the next question: that goes out at once.
            self.changed.notify_one();
        }
        limited(self.times.read_limit, self.store.write_reports(reports)).await?;
        self.members.state.send_if_modified(|state| {
            state.reports.stored(reports);
            false
        });
        Ok(())
    }

    async fn read_routes(&self, reason: CallReason) -> Result<RouteSnapshot, SourceError> {
        let mut state = self.members.state.subscribe();
        let may_begin = |state: &SpreadState| state.reads_store || state.book.is_some();
        // The sender lives as long as this.
        let _ = state.wait_for(may_begin).await;
        if let Some(book) = self.passed_book() {
            return Ok(book);
        }
        let reading = limited(self.times.read_limit, self.store.read_routes(reason)).await?;
        self.keep_book(&reading);
        Ok(reading)
    }

    async fn read_upstreams(&self, _reason: CallReason) -> Result<UpstreamSnapshot, SourceError> {
        if self.join.lock().is_none() {
            self.join_paced().await?;
        }
        self.end_rest().await;
        let mut failed: Option<SourceError> = None;
        loop {
            let step = self.members.plan.lock().choose(steady_clock::now());
            self.reader.set(!matches!(step, ReadStep::Ask { .. }));
            match step {
                ReadStep::Ask {
                    at_once,
                    from,
                    limit,
                    turn,
                } => {
                    let end = tokio::select! {
                        end = self.ask(from, at_once, limit) => end,
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
                        AskEnd::News(reading) => {
                            let now = steady_clock::now();
                            if self.members.plan.lock().is_first(now) {
                                self.refresh(now, false).await;
                            }
                            if self.members.plan.lock().is_stale(now) {
                                self.rest_until(turn);
                            }
                            return Ok(reading);
                        }
                        AskEnd::NoAnswer(error) => {
                            failed = Some(error);
                            // One that starts as well may need a moment until it can answer.
                            time::sleep(FAILED_PAUSE).await;
                        }
                        AskEnd::NoNews(error) => {
                            self.rest_until(turn);
                            return Err(error);
                        }
                        // The rest is asked for.
                        AskEnd::Part => {}
                    }
                }
                ReadStep::Pause(until) => {
                    if let Some(error) = failed.take() {
                        return Err(error);
                    }
                    let left = until.saturating_duration_since(steady_clock::now());
                    // Either way the next step is chosen anew.
                    let _ = time::timeout(left, self.changed.notified()).await;
                }
                ReadStep::Store => match self.read_store().await {
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
            return Ok(self.await_passed(after, wait).await);
        }
        let watching = self.store.watch_routes(after, wait);
        let watching = limited(wait + self.times.read_limit, watching);
        let mut state = self.members.state.subscribe();
        let news = tokio::select! {
            news = watching => news?,
            // The store no longer answers this instance. A watch that hangs must not keep it from what others know.
            _ = state.wait_for(|state| !state.reads_store) => {
                return Ok(RouteUpdate::Unchanged(after, None));
            }
        };
        match &news {
            RouteUpdate::Changed(reading) => self.keep_book(reading),
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
async fn limited<T>(
    limit: Duration,
    answer: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    match time::timeout(limit, answer).await {
        Ok(outcome) => outcome,
        Err(_) => Err(silent("no answer in time")),
    }
}

fn silent(detail: impl Into<String>) -> SourceError {
    SilentSnafu {
        detail: detail.into(),
    }
    .build()
}
