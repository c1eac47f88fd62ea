//! What an instance knows and tells others.

use {
    crate::{
        ListDigest, ListJournal, MemberRow, ReportJournal, RoutesAge, RoutesCopy, RoutesUpdate,
        SpreadReply, SpreadRequest, SpreadTimes, SpreadUpdate,
    },
    kernel::{Incarnation, TableVersion, ZoneId},
    relay::{RouteSnapshot, RouteTable, StoreVersion, UpstreamSnapshot},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Routes that were not known to be the newest for so long are told to be at once: after an outage keys may wait for that.
const STALE_ROUTES_AGE: Duration = Duration::from_secs(2);

/// News are newer than an asker's by at least this part of a period; less than that may be their way.
const NEWER_DIVISOR: u32 = 4;

/// From so many late readings in a row on askers are told: one alone may just have taken too long, and those that would try in
/// its place may be smaller than the reader.
const REPORTED_FAILURES: u32 = 2;

/// Why a try to have news was in vain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFailure {
    /// The store gave this instance no answer in time.
    TimedOut,
    /// The instance that was asked has no news.
    NoUpdate,
    /// The store refused this instance.
    Refused,
}

/// The last reading of each kind.
#[derive(Clone, Debug)]
pub struct SpreadState {
    /// The routes, and the version of the store's content that they were read at.
    pub routes: Option<(Arc<RouteTable>, StoreVersion)>,
    /// As of when these routes are known to be the newest.
    routes_as_of: Option<Instant>,
    /// How often in a row the store did not answer this instance; a refusal counts like several late answers.
    failures: u32,
    journal: ListJournal,
    /// The members of all zones.
    pub members: Vec<MemberRow>,
    members_digest: u64,
    /// When the store was read for what is known; none before the first time.
    read_at: Option<Instant>,
    /// Counts what askers are told at once: readings, own ones and passed on ones, and that the store refuses.
    pub update_count: u64,
    /// Since when the store does not answer this instance, which was to read it, and there was no later reading.
    refused_since: Option<Instant>,
    /// Whether the store answered this instance itself the last time.
    pub reads_store: bool,
    /// Upstreams that ended under requests.
    pub reports: ReportJournal,
    /// Whether the last try was in vain.
    is_unavailable: bool,
    version: StoreVersion,
    /// The availability zone of the instance.
    zone: ZoneId,
}

impl SpreadState {
    /// The answer to an asker by what is known now. The first of another zone is to read the store itself if this one does not.
    pub fn answer(&self, request: &SpreadRequest, stale: Duration, now: Instant) -> SpreadReply {
        let age = self.age(now);
        let reports = self.reports.updates_since(request.reports_position, now);
        let is_news = |age: &Duration| *age <= stale && self.may_pass_on(request);
        let Some(age) = age.filter(is_news) else {
            return SpreadReply::NoUpdate {
                age: age.unwrap_or_default(),
                routes: Box::new(self.routes_update(request, now)),
                reports,
            };
        };
        SpreadReply::Update(Box::new(SpreadUpdate {
            age,
            routes: self.routes_update(request, now),
            list: self
                .journal
                .change_since(request.list, &request.list_digests),
            position: self.journal.position(),
            members: (request.members != self.members_digest).then(|| self.members.clone()),
            refused: self.refused_for(now),
            reports,
            version: self.version,
        }))
    }

    /// The routes, if they were read after a version of the store's content.
    pub fn routes_after(&self, after: StoreVersion) -> Option<&(Arc<RouteTable>, StoreVersion)> {
        self.routes.as_ref().filter(|(_, version)| *version > after)
    }

    /// Whether an asker that saw `before` readings is to be answered before the time is up.
    pub fn has_updates(
        &self,
        request: &SpreadRequest,
        before: u64,
        times: &SpreadTimes,
        now: Instant,
    ) -> bool {
        if self.update_count > before || !self.may_pass_on(request) {
            return true;
        }

        if request.is_immediate {
            return self.is_unavailable || self.routes.is_some() && self.read_at.is_some();
        }
        let has_book = self.newer_routes(request).is_some();
        if self.is_unavailable && has_book {
            return true;
        }
        let is_behind = request.update_age.is_some_and(|age| {
            let newer = |own| own + times.period / NEWER_DIVISOR < age;
            self.age(now).is_some_and(newer)
        });
        let has_more = is_behind || has_book || self.reports.has_updates(request.reports_position);
        self.is_fresh(times.max_staleness, now) && has_more
    }

    /// The digest of the members.
    pub fn members_digest(&self) -> u64 {
        self.members_digest
    }

    /// Nothing was read yet in this life; reports of ended upstreams count for `quarantine`.
    pub fn new(life: Incarnation, zone: ZoneId, quarantine: Duration) -> Self {
        Self {
            routes: None,
            routes_as_of: None,
            journal: ListJournal::new(life),
            members: Vec::new(),
            members_digest: 0,
            read_at: None,
            update_count: 0,
            reads_store: false,
            refused_since: None,
            failures: 0,
            reports: ReportJournal::new(life, quarantine),
            is_unavailable: false,
            version: 0,
            zone,
        }
    }

    /// A try was in vain. When it was the store that refused this instance, askers are told at once, so that another one tries
    /// before the news are old; when a reading took too long, at the second time in a row.
    pub fn record_failure(&mut self, failure: ReadFailure, now: Instant) {
        self.is_unavailable = true;
        let weight = match failure {
            ReadFailure::NoUpdate => return,
            ReadFailure::TimedOut => 1,
            ReadFailure::Refused => REPORTED_FAILURES,
        };
        self.reads_store = false;
        self.refused_since.get_or_insert(now);
        let was_told = self.failures >= REPORTED_FAILURES;
        self.failures += weight;
        if !was_told && self.failures >= REPORTED_FAILURES {
            self.update_count += 1;
        }
    }

    /// Takes a reading of the store by this instance in.
    pub fn apply_store_list(&mut self, reading: &UpstreamSnapshot, began: Instant) {
        self.reads_store = true;
        self.apply_records(reading, began);
    }

    /// Takes a reading that another instance passed on in, whose list has this digest. A list that is known already is not
    /// gone through row by row.
    pub fn apply_peer_list(
        &mut self,
        reading: &UpstreamSnapshot,
        read: Instant,
        digest: &ListDigest,
    ) {
        self.reads_store = false;
        if reading.version < self.version {
            return;
        }
        if self.journal.digest() != digest {
            self.journal.apply(&reading.records);
        }
        self.note_read(reading.version, read);
    }

    /// Takes routes in, unless they are older than those known.
    pub fn apply_routes(
        &mut self,
        book: RouteTable,
        version: StoreVersion,
        as_of: Option<Instant>,
    ) {
        let known = self.routes.as_ref();
        let number = book.version;
        if known.is_none_or(|(known, _)| number > known.version) {
            self.routes = Some((Arc::new(book), version));
            self.routes_as_of = None;
        }
        if let Some(as_of) = as_of {
            self.note_current_routes(number, as_of);
        }
    }

    /// A version of the routes was the newest at a moment; that of the known ones counts.
    pub fn note_current_routes(&mut self, version: TableVersion, as_of: Instant) {
        let is_known = |(book, _): &(Arc<RouteTable>, StoreVersion)| book.version == version;
        if !self.routes.as_ref().is_some_and(is_known) {
            return;
        }
        let before = self.routes_as_of;
        self.routes_as_of = before.max(Some(as_of));
        if before.is_some_and(|before| as_of.saturating_duration_since(before) >= STALE_ROUTES_AGE)
        {
            self.update_count += 1;
        }
    }

    /// The routes that are known.
    pub fn routes_reading(&self) -> Option<RouteSnapshot> {
        let (book, version) = self.routes.as_ref()?;
        Some(RouteSnapshot {
            as_of: self.routes_as_of,
            table: Some((**book).clone()),
            version: *version,
        })
    }

    /// The version of the known routes, and how long ago it was known to be the newest.
    fn routes_age(&self, now: Instant) -> Option<RoutesAge> {
        let (book, _) = self.routes.as_ref()?;
        Some(RoutesAge {
            age: now.saturating_duration_since(self.routes_as_of?),
            version: book.version,
        })
    }

    /// Takes the members in.
    pub fn apply_members(&mut self, members: Vec<MemberRow>) {
        self.members_digest = MemberRow::digest(&members);
        self.members = members;
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|read| now.saturating_duration_since(read))
    }

    /// How long the store has refused this instance, once that counts.
    fn refused_for(&self, now: Instant) -> Option<Duration> {
        let since = self.refused_since?;
        let is_told = self.failures >= REPORTED_FAILURES;
        is_told.then(|| now.saturating_duration_since(since))
    }

    /// The routes, if the asker has older ones.
    fn newer_routes(&self, request: &SpreadRequest) -> Option<&(Arc<RouteTable>, StoreVersion)> {
        let book = self.routes.as_ref();
        book.filter(|(book, _)| request.routes.is_none_or(|have| book.version > have))
    }

    /// What an asker is told of the routes.
    fn routes_update(&self, request: &SpreadRequest, now: Instant) -> RoutesUpdate {
        let newer = self.newer_routes(request);
        RoutesUpdate {
            age: self.routes_age(now),
            copy: newer.map(|(book, version)| (RoutesCopy::from(&**book), *version)),
        }
    }

    /// Whether there is news that are not older than this.
    fn is_fresh(&self, limit: Duration, now: Instant) -> bool {
        self.routes.is_some() && self.age(now).is_some_and(|age| age <= limit)
    }

    /// Whether what is known is for this asker. One of another zone that the store answers is to have it from a reader, so
    /// that no two zones live on each other's news.
    fn may_pass_on(&self, request: &SpreadRequest) -> bool {
        let waits = self.read_at.is_none() && !self.is_unavailable;
        self.reads_store || request.is_refused || waits || request.member.zone == self.zone
    }

    fn note_read(&mut self, version: StoreVersion, read: Instant) {
        if self.refused_since.is_some_and(|since| read > since) {
            self.refused_since = None;
            self.failures = 0;
        }
        self.read_at = Some(self.read_at.map_or(read, |before| before.max(read)));
        self.update_count += 1;
        self.is_unavailable = false;
        self.version = version;
    }

    fn apply_records(&mut self, reading: &UpstreamSnapshot, read: Instant) {
        if reading.version < self.version {
            return;
        }
        self.journal.apply(&reading.records);
        self.note_read(reading.version, read);
    }
}
