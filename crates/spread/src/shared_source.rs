//! The operators' routes and the list of upstreams, from the store or from an instance that has read it.

use {
    crate::{
        ListMirror, MemberDirectory, MemberRow, ReadFrom, ReaderPlan, SPREAD_TAG, SpreadNews,
        SpreadReply, SpreadRequest, SpreadServer, SpreadState, SpreadTimes,
    },
    kernel::{InstanceId, LockRank, RankedLock, WorkerPool, ZoneId},
    peer::{PeerEndpoint, PeerKeys},
    plat::RowStore,
    relay::{
        BookNews, BookReading, OperatorSource, SourceError, StoreVersion, UpstreamReading,
        ZoneSize, operator_source::SilentSnafu,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time},
};

/// A source that asks the zone's reader first, and the store where that gives no answer.
#[derive(Debug)]
pub struct SharedSource<S> {
    directory: MemberDirectory<S>,
    endpoint: PeerEndpoint,
    keys: PeerKeys,
    mirror: RankedLock<ListMirror>,
    plan: Arc<RankedLock<ReaderPlan>>,
    /// When the member rows are to be read again; at once before the first time.
    refresh_due: RankedLock<Option<Instant>>,
    state: watch::Sender<SpreadState>,
    store: Arc<S>,
    times: SpreadTimes,
    zone_size: ZoneSize,
}

#[bon::bon]
impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// A source that has read nothing, and answers others from now on.
    #[builder]
    pub fn new(
        endpoint: PeerEndpoint,
        keys: PeerKeys,
        own: MemberRow,
        pool: &WorkerPool,
        store: Arc<S>,
        times: SpreadTimes,
        zone: &ZoneId,
        zone_size: ZoneSize,
    ) -> Self {
        let plan = ReaderPlan::new(own.instance.clone(), zone.clone(), times);
        let plan = Arc::new(RankedLock::new(LockRank::Members, plan));
        let (state, _) = watch::channel(SpreadState::new(endpoint.incarnation()));
        let server = SpreadServer {
            plan: plan.clone(),
            pool: pool.clone(),
            state: state.subscribe(),
        };
        pool.spawn(server.run(endpoint.register(SPREAD_TAG)));
        Self {
            directory: MemberDirectory::new(store.clone(), zone, own),
            endpoint,
            keys,
            mirror: RankedLock::new(LockRank::Readings, ListMirror::default()),
            plan,
            refresh_due: RankedLock::new(LockRank::Samples, None),
            state,
            store,
            times,
            zone_size,
        }
    }
}

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// The zone has these members.
    fn adopt(&self, members: Vec<MemberRow>) {
        self.zone_size.set(members.len());
        if MemberRow::digest(&members) == self.state.borrow().members_digest() {
            return;
        }
        let own = &self.directory.own().instance;
        let mut authorities = String::new();
        for member in &members {
            authorities.push_str(&member.certificate);
            if member.instance != *own {
                self.endpoint
                    .book()
                    .set(member.instance.clone(), member.address);
            }
        }
        let keys = self.keys.with_authorities(authorities.into());
        if let Err(error) = self.endpoint.trust(&keys) {
            tracing::warn!(%error, "the members' certificates can't be used");
            return;
        }
        tracing::info!(members = members.len(), "members of the availability zone");
        let ranked = members
            .iter()
            .map(|member| (member.instance.clone(), member.capacity));
        self.plan.lock().set_members(ranked, Instant::now());
        self.state.send_modify(|state| state.take_members(members));
    }

    /// Asks the reader for its next reading. None when it gives none.
    async fn ask(&self, reader: &InstanceId) -> Option<SpreadNews> {
        let request = SpreadRequest {
            book: self.known_book(),
            list: self.mirror.lock().mark(reader),
            members: self.state.borrow().members_digest(),
        };
        // Three optional numbers always have a binary form.
        let body = postcard::to_stdvec(&request).ok()?;
        let answer = match self.endpoint.call(reader, SPREAD_TAG, &body).await {
            Ok(answer) => answer,
            Err(error) => {
                tracing::info!(%reader, %error, "no reading from another instance");
                self.endpoint.forget(reader);
                return None;
            }
        };
        match postcard::from_bytes(&answer) {
            Ok(SpreadReply::News(news)) => Some(*news),
            Ok(SpreadReply::Unreadable) => {
                tracing::info!(%reader, "the reader can't read the store");
                None
            }
            Err(error) => {
                tracing::warn!(%reader, %error, "a reading can't be read");
                None
            }
        }
    }

    /// The version of the routes that this instance has.
    fn known_book(&self) -> Option<u64> {
        let state = self.state.borrow();
        state.book.as_ref().map(|(book, _)| book.version)
    }

    /// Reads the list from the store, and the member rows when it is time.
    async fn read_store(&self) -> Result<UpstreamReading, SourceError> {
        self.state.send_modify(|state| state.follows = false);
        let reading = limited(self.times.read_limit, self.store.read_upstreams()).await;
        let now = Instant::now();
        let mut reading = match reading {
            Ok(reading) => reading,
            Err(error) => {
                self.state.send_modify(SpreadState::note_failure);
                return Err(error);
            }
        };
        self.state
            .send_modify(|state| state.take_list(&reading, now));
        reading.waited = false;
        self.refresh(now).await;
        Ok(reading)
    }

    /// Reads the member rows when it is time.
    async fn refresh(&self, now: Instant) {
        if !self.take_refresh(now) {
            return;
        }
        let silent = self.plan.lock().silent(now);
        let reading = time::timeout(self.times.read_limit, self.directory.refresh(&silent)).await;
        match reading {
            Ok(Ok(members)) => self.adopt(members),
            Ok(Err(error)) => tracing::info!(%error, "the member rows can't be read"),
            Err(_) => tracing::info!("the member rows did not come in time"),
        }
    }

    /// Whether the member rows are to be read now; if so, the next time is set.
    fn take_refresh(&self, now: Instant) -> bool {
        let mut due = self.refresh_due.lock();
        let period = match *due {
            Some(at) if now < at => return false,
            Some(_) => self.times.directory_period,
            None => self.times.directory_settle,
        };
        *due = Some(now + period);
        true
    }

    /// Takes a reading of another instance in.
    fn take_news(&self, reader: InstanceId, news: SpreadNews) -> UpstreamReading {
        let now = Instant::now();
        if let Some(members) = news.members {
            self.adopt(members);
        }
        self.state.send_modify(|state| {
            state.follows = true;
            if let Some((book, version)) = news.book {
                state.take_book(book.into_book(), version);
            }
        });
        let mut mirror = self.mirror.lock();
        mirror.apply(reader, news.list, news.mark);
        UpstreamReading {
            faults: Vec::new(),
            outage_ended: news.outage_age.and_then(|age| now.checked_sub(age)),
            records: mirror.records(),
            version: news.version,
            waited: true,
        }
    }

    /// Waits for routes that another instance has read, and no longer than it reads for this one.
    async fn await_followed(&self, after: StoreVersion, wait: Duration) -> BookNews {
        let mut state = self.state.subscribe();
        let is_over = |state: &SpreadState| !state.follows || state.book_after(after).is_some();
        let waiting = time::timeout(wait, state.wait_for(is_over)).await;
        let Ok(Ok(state)) = waiting else {
            return BookNews::Unchanged(after);
        };
        match state.book_after(after) {
            Some((book, version)) => BookNews::Changed(Box::new((**book).clone()), *version),
            None => BookNews::Unchanged(after),
        }
    }

    /// The routes that another instance has read, while it reads for this one.
    fn followed_book(&self) -> Option<BookReading> {
        let state = self.state.borrow();
        let (book, version) = state.book.as_ref().filter(|_| state.follows)?;
        Some(BookReading {
            book: Some((**book).clone()),
            version: *version,
        })
    }
}

impl<S: OperatorSource + RowStore> OperatorSource for SharedSource<S> {
    async fn read_book(&self) -> Result<BookReading, SourceError> {
        if let Some(book) = self.followed_book() {
            return Ok(book);
        }
        let reading = limited(self.times.read_limit, self.store.read_book()).await?;
        if let Some(book) = &reading.book {
            let book = book.clone();
            self.state
                .send_modify(|state| state.take_book(book, reading.version));
        }
        Ok(reading)
    }

    async fn read_upstreams(&self) -> Result<UpstreamReading, SourceError> {
        let from = self.plan.lock().choose(Instant::now());
        let ReadFrom::Peer(reader) = from else {
            return self.read_store().await;
        };
        if let Some(news) = self.ask(&reader).await {
            self.plan.lock().answered(&reader);
            return Ok(self.take_news(reader, news));
        }
        self.plan.lock().failed(&reader, Instant::now());
        self.read_store().await
    }

    async fn watch_book(
        &self,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<BookNews, SourceError> {
        let follows = self.state.borrow().follows;
        if follows {
            return Ok(self.await_followed(after, wait).await);
        }
        let watching = self.store.watch_book(after, wait);
        let news = limited(wait + self.times.read_limit, watching).await?;
        if let BookNews::Changed(book, version) = &news {
            let book = (**book).clone();
            self.state
                .send_modify(|state| state.take_book(book, *version));
        }
        Ok(news)
    }
}

/// What the store answers within a time.
async fn limited<T>(
    limit: Duration,
    answer: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    match time::timeout(limit, answer).await {
        Ok(outcome) => outcome,
        Err(_) => SilentSnafu {
            detail: "no answer in time",
        }
        .fail(),
    }
}
