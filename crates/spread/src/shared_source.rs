//! The operators' routes and the list of upstreams, from the store or from an instance that has read it.

use {
    crate::{
        AskerState, BookAge, DirectoryView, ListMirror, MemberBoard, MemberDirectory, MemberRow,
        ReadStep, ReaderPlan, ReadingMark, ReportFollower, ReportNews, ReportOrigin, SPREAD_TAG,
        SpreadNews, SpreadReply, SpreadRequest, SpreadServer, SpreadState, SpreadTimes, USE_TAG,
        UseBoard, UseExchange, spread_state::is_unchanged,
    },
    kernel::{InstanceId, LockRank, RankedLock, WorkerPool, steady_clock},
    peer::{KeyAuthority, PeerEndpoint, PeerKeys},
    plat::{PlatError, RowStore},
    policy::{AgedReport, CrashReport},
    relay::{
        BookFreshness, BookNews, BookReading, CallReason, OperatorSource, QuotaDesk, ReaderRole,
        ReportMark, ReportReading, SourceError, StoreVersion, UpstreamReading, ZoneSize,
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

/// When the whole system starts for the first time nobody knows of the others and nobody serves yet. The instances make
/// their first calls one after the other within this time, those first that are to read, so that all others find them.
const FIRST_START_SPREAD: Duration = Duration::from_secs(3);
/// Scores of instances in the order of readers lie between these, whatever machines there are.
const SCORE_BOUNDS: (f64, f64) = (1e2, 1e8);

/// The pause after an instance that gave no answer.
const FAILED_PAUSE: Duration = Duration::from_millis(20);

/// A source that asks the zone's reader first, and the store where that gives no answer.
#[derive(Debug)]
pub struct SharedSource<S> {
    /// Rung when the next step changes by what another instance asked.
    changed: Arc<Notify>,
    directory: MemberDirectory<S>,
    endpoint: PeerEndpoint,
    follower: Arc<ReportFollower<S>>,
    /// As of when the routes in force are known to be the newest.
    freshness: BookFreshness,
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
    store: Arc<S>,
    times: SpreadTimes,
}

/// How a question to another instance ended.
#[derive(Debug)]
enum AskEnd {
    /// It answered with what it knows.
    News(UpstreamReading),
    /// It gave no answer, or none that helps: go on.
    NoAnswer(SourceError),
    /// It has no news, and is waited for.
    NoNews(SourceError),
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
        directory_store: Arc<S>,
        endpoint: PeerEndpoint,
        first_start: bool,
        freshness: BookFreshness,
        keys: PeerKeys,
        own: MemberRow,
        pool: &WorkerPool,
        quarantine: Duration,
        quotas: QuotaDesk,
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
            store,
            times,
        }
    }
}

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// Asks an instance for its next reading.
    async fn ask(&self, from: InstanceId, at_once: bool, limit: Duration) -> AskEnd {
        let request = self.request(&from, at_once);
        let asked = steady_clock::now();
        let asking = self.endpoint.call(&from, SPREAD_TAG, &request);
        let answer = match time::timeout(limit, asking).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no answer in time".to_owned()),
        };
        let reply = answer.and_then(|answer| {
            postcard::from_bytes::<SpreadReply>(&answer).map_err(|error| error.to_string())
        });
        let now = steady_clock::now();
        match reply {
            Ok(SpreadReply::News(news)) => AskEnd::News(self.take_news(from, *news, asked)),
            Ok(SpreadReply::Unreadable { age, reports }) => {
                self.take_reports(&from, reports, now);
                let mut plan = self.members.plan.lock();
                let goes_on = plan.unreadable(&from, age, now);
                drop(plan);
                let error = silent(format!("{from} has no news"));
                if goes_on {
                    return AskEnd::NoAnswer(error);
                }
                self.note_failure(false);
                AskEnd::NoNews(error)
            }
            Err(detail) => {
                tracing::info!(reader = %from, detail, "no reading from another instance");
                self.endpoint.forget(&from);
                self.members.plan.lock().failed(&from, now);
                AskEnd::NoAnswer(silent(detail))
            }
        }
    }

    fn request(&self, to: &InstanceId, at_once: bool) -> Vec<u8> {
        let plan = self.members.plan.lock();
        let AskerState { passed_over, reads } = plan.state(steady_clock::now());
        let is_refused = plan.is_refused();
        drop(plan);
        let list = self.mirror.lock().mark(to);
        let reports_known = self.reports_known(to);
        let state = self.members.state.borrow();
        let request = SpreadRequest {
            at_once,
            book: state.book.as_ref().map(|(book, _)| book.version),
            card: self.members.own.clone(),
            is_refused,
            list,
            members: state.members_digest(),
            passed_over,
            reads,
            reports: state.reports.to_tell(steady_clock::now()),
            reports_known,
        };
        // Texts, numbers and addresses always have a binary form.
        postcard::to_stdvec(&request).unwrap_or_default()
    }

    /// Becomes one of the instances, with growing pauses while the store does not answer.
    async fn join_paced(&self) -> Result<(), SourceError> {
        let due = self.members.plan.lock().store_due();
        if let Some(due) = due {
            time::sleep(due.saturating_duration_since(steady_clock::now())).await;
        }
        let joined = self.join().await;
        let mut plan = self.members.plan.lock();
        match joined {
            Ok(()) => plan.joined(),
            Err(_) => plan.store_failed(steady_clock::now()),
        }
        drop(plan);
        joined
    }

    /// Becomes one of the instances: reads who they are and the key that all trust, or founds both.
    async fn join(&self) -> Result<(), SourceError> {
        if self.first_start {
            time::sleep(first_start_pause(&self.members.own)).await;
        }
        let view = self.within(self.directory.read()).await?;
        let own = vec![self.members.own.clone()];
        let is_first = !view.zones.contains_key(&self.members.own.zone);
        let view = match (&view.authority, is_first) {
            (Some(_), false) => view,
            (Some(authority), true) => {
                let authority = authority.clone();
                self.within(self.directory.write(view, own, &authority))
                    .await?
            }
            (None, _) => {
                let authority = KeyAuthority::new().map(|authority| authority.private_key());
                let authority = authority.map_err(|error| silent(error.to_string()))?;
                self.within(self.directory.write(view, own, &authority))
                    .await?
            }
        };
        self.take_view(view, &[]);
        Ok(())
    }

    fn note_failure(&self, own: bool) {
        self.members
            .state
            .send_modify(|state| state.note_failure(own, steady_clock::now()));
    }

    /// Reads the list from the store, and the directory when it is time.
    async fn read_store(&self) -> Result<UpstreamReading, SourceError> {
        let began = steady_clock::now();
        let reason = self.members.plan.lock().reason();
        let reading = limited(self.times.read_limit, self.store.read_upstreams(reason));
        let (reading, ()) = tokio::join!(reading, self.follower.begin());
        let now = steady_clock::now();
        let mut reading = match reading {
            Ok(reading) => reading,
            Err(error) => {
                self.members.plan.lock().store_failed(now);
                self.note_failure(true);
                return Err(error);
            }
        };
        self.members.plan.lock().store_read(began);
        self.members
            .state
            .send_modify(|state| state.take_list(&reading, began, now));
        reading.waited = true;
        self.refresh(now, true).await;
        Ok(reading)
    }

    /// Reads the directory when it is time, and writes what has changed in the own zone. The first of a zone whose list comes
    /// from another zone does so when something has changed, those that read the store in a period as well.
    async fn refresh(&self, now: Instant, in_period: bool) {
        let silent = self.members.plan.lock().silent(now);
        let Some(known) = self.take_refresh(now, in_period, !silent.is_empty()) else {
            return;
        };
        let view = match self.within(self.directory.read()).await {
            Ok(view) => view,
            Err(error) => {
                tracing::info!(%error, "the directory can't be read");
                return;
            }
        };
        self.take_view(view.clone(), &silent);
        let members = self.members.zone_members();
        let listed = view.zones.get(&self.members.own.zone);
        let is_listed =
            listed.is_some_and(|listed| MemberRow::digest(listed) == MemberRow::digest(&members));
        if is_listed && view.authority.is_some() {
            return;
        }
        let authority = view.authority.clone().unwrap_or(known);
        match self
            .within(self.directory.write(view, members, &authority))
            .await
        {
            Ok(view) => self.take_view(view, &silent),
            Err(error) => tracing::info!(%error, "the directory can't be written"),
        }
    }

    /// Whether the directory is to be read now; if so, gives the key that is known, and the next time is set.
    fn take_refresh(&self, now: Instant, in_period: bool, any_silent: bool) -> Option<Arc<str>> {
        let members = MemberRow::digest(&self.members.zone_members());
        let mut join = self.join.lock();
        let join = join.as_mut()?;
        let listed = join.view.zones.get(&self.members.own.zone);
        let is_listed =
            !any_silent && listed.is_some_and(|listed| MemberRow::digest(listed) == members);
        if is_listed && !in_period {
            return None;
        }
        let period = match is_listed {
            true => self.times.directory_period,
            false => self.times.directory_settle,
        };
        if now < join.tried + period {
            return None;
        }
        join.tried = now;
        join.view.authority.clone()
    }

    /// Takes a reading of the directory in.
    fn take_view(&self, view: DirectoryView, silent: &[InstanceId]) {
        let next = JoinState {
            tried: steady_clock::now(),
            view: view.clone(),
        };
        let before = self.join.lock().replace(next);
        let known = before.and_then(|before| before.view.authority);
        if known != view.authority
            && let Some(authority) = &view.authority
        {
            self.trust(authority);
        }
        self.members.merge(&view, silent);
    }

    /// Has the own key certified by the key that all trust, and trusts it.
    fn trust(&self, authority: &str) {
        let instance = &self.members.own.instance;
        let certified = KeyAuthority::from_private_key(authority)
            .and_then(|authority| authority.certify(instance, &self.keys))
            .and_then(|keys| self.endpoint.reload(&keys));
        if let Err(error) = certified {
            tracing::warn!(%error, "the key of the directory can't be used");
        }
    }

    /// Takes a reading of another instance in.
    fn take_news(&self, from: InstanceId, news: SpreadNews, asked: Instant) -> UpstreamReading {
        let now = steady_clock::now();
        let way = now.saturating_duration_since(asked + news.held);
        let read = now.checked_sub(news.age).unwrap_or(now);
        if let Some(members) = news.members {
            self.members.replace(members);
        }
        let mut plan = self.members.plan.lock();
        plan.answered(&from, read);
        if let Some(age) = news.refused {
            plan.reader_refused(&from, age, now);
        }
        drop(plan);
        self.take_reports(&from, news.reports, now);
        let changed = !is_unchanged(&news.list);
        let mut mirror = self.mirror.lock();
        mirror.apply(from, news.list, news.mark);
        let records = mirror.records();
        drop(mirror);
        let reading = UpstreamReading {
            faults: Vec::new(),
            outage_ended: news.outage_age.and_then(|age| now.checked_sub(age)),
            passed_on: true,
            records,
            version: news.version,
            waited: true,
        };
        self.members.state.send_modify(|state| {
            state.take_passed(&reading, read, changed);
            if let Some((book, version)) = news.book {
                state.take_book(book.into_book(), version, None);
            }
            let Some(BookAge { age, version }) = news.book_age else {
                return;
            };
            if let Some(as_of) = now.checked_sub(age + way) {
                state.note_newest(version, as_of);
                self.freshness.note(version, as_of);
            }
        });
        reading
    }

    /// Waits for routes that another instance has read, or until this one reads the store itself.
    async fn await_passed(&self, after: StoreVersion, wait: Duration) -> BookNews {
        let mut state = self.members.state.subscribe();
        let is_over = |state: &SpreadState| state.reads_store || state.book_after(after).is_some();
        let waiting = time::timeout(wait, state.wait_for(is_over)).await;
        let Ok(Ok(state)) = waiting else {
            return BookNews::Unchanged(after, None);
        };
        let newer = state.book_after(after).and_then(|_| state.book_reading());
        match newer {
            Some(reading) => BookNews::Changed(Box::new(reading)),
            None => BookNews::Unchanged(after, None),
        }
    }

    /// The routes that are known already, while another instance reads for this one.
    fn passed_book(&self) -> Option<BookReading> {
        let state = self.members.state.borrow();
        state.book_reading().filter(|_| !state.reads_store)
    }

    /// Keeps routes that the store gave, to pass them on.
    fn keep_book(&self, reading: &BookReading) {
        let Some(book) = reading.book.clone() else {
            return;
        };
        self.members
            .state
            .send_modify(|state| state.take_book(book, reading.version, reading.as_of));
    }

    /// The routes that are known were the newest at a moment. That wakes nobody: it goes along with the next reading.
    fn note_unchanged(&self, as_of: Instant) {
        self.members.state.send_if_modified(|state| {
            let version = state.book.as_ref().map(|(book, _)| book.version);
            if let Some(version) = version {
                state.note_newest(version, as_of);
            }
            false
        });
    }

    fn reports_known(&self, of: &InstanceId) -> Option<ReadingMark> {
        let known = self.report_mark.lock();
        let (from, mark) = known.as_ref()?;
        (from == of).then_some(*mark)
    }

    /// Takes reports of the instance that was asked in.
    fn take_reports(&self, from: &InstanceId, news: ReportNews, now: Instant) {
        *self.report_mark.lock() = Some((from.clone(), news.mark));
        self.members
            .learn(&news.reports, ReportOrigin::Instance, now);
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
        after: Option<ReportMark>,
        wait: Duration,
    ) -> Result<ReportReading, SourceError> {
        let mut state = self.members.state.subscribe();
        let life = state.borrow().reports.mark().life;
        let have = after.map(|revision| ReadingMark { life, revision });
        // Without news the same mark is asked for again.
        let _ = time::timeout(wait, state.wait_for(|state| state.reports.has_news(have))).await;
        let news = state.borrow().reports.news_since(have, steady_clock::now());
        Ok(ReportReading {
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

    async fn read_book(&self, reason: CallReason) -> Result<BookReading, SourceError> {
        let mut state = self.members.state.subscribe();
        let may_begin = |state: &SpreadState| state.reads_store || state.book.is_some();
        // The sender lives as long as this.
        let _ = state.wait_for(may_begin).await;
        if let Some(book) = self.passed_book() {
            return Ok(book);
        }
        let reading = limited(self.times.read_limit, self.store.read_book(reason)).await?;
        self.keep_book(&reading);
        Ok(reading)
    }

    async fn read_upstreams(&self, _reason: CallReason) -> Result<UpstreamReading, SourceError> {
        if self.join.lock().is_none() {
            self.join_paced().await?;
        }
        let mut failed: Option<SourceError> = None;
        loop {
            let step = self.members.plan.lock().choose(steady_clock::now());
            self.reader.set(!matches!(step, ReadStep::Ask { .. }));
            match step {
                ReadStep::Ask {
                    at_once,
                    from,
                    limit,
                } => {
                    let end = tokio::select! {
                        end = self.ask(from, at_once, limit) => end,
                        () = self.changed.notified() => continue,
                    };
                    match end {
                        AskEnd::News(reading) => {
                            let now = steady_clock::now();
                            if self.members.plan.lock().is_first(now) {
                                self.refresh(now, false).await;
                            }
                            return Ok(reading);
                        }
                        AskEnd::NoAnswer(error) => {
                            failed = Some(error);
                            // One that starts as well may need a moment until it can answer.
                            time::sleep(FAILED_PAUSE).await;
                        }
                        AskEnd::NoNews(error) => return Err(error),
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

    async fn watch_book(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<BookNews, SourceError> {
        let reads_store = self.members.state.borrow().reads_store;
        if !reads_store {
            return Ok(self.await_passed(after, wait).await);
        }
        let watching = self.store.watch_book(after, wait);
        let news = limited(wait + self.times.read_limit, watching).await?;
        match &news {
            BookNews::Changed(reading) => self.keep_book(reading),
            BookNews::Unchanged(_, Some(as_of)) => self.note_unchanged(*as_of),
            BookNews::HistoryLost | BookNews::Unchanged(_, None) => {}
        }
        Ok(news)
    }
}

/// How long one instance waits when the whole system starts for the first time.
fn first_start_pause(own: &MemberRow) -> Duration {
    let (least, most) = SCORE_BOUNDS;
    let share = (own.score().clamp(least, most) / least).ln() / (most / least).ln();
    FIRST_START_SPREAD.mul_f64(1.0 - share)
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
