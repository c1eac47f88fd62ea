//! What an instance knows and tells others.

use {
    crate::{
        BookAge, BookCopy, ListDigest, ListJournal, MemberRow, PassedBook, ReportJournal,
        SpreadNews, SpreadReply, SpreadRequest, SpreadTimes,
    },
    kernel::{Incarnation, TableVersion, ZoneId},
    relay::{RouteSnapshot, RouteTable, StoreVersion, UpstreamSnapshot},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Routes that were not known to be the newest for so long are told to be at once: after an outage keys may wait for that.
const LATE_BOOK: Duration = Duration::from_secs(2);

/// News are newer than an asker's by at least this part of a period; less than that may be their way.
const NEWER_SHARE: u32 = 4;

/// From so many late readings in a row on askers are told: one alone may just have taken too long, and those that would try in
/// its place may be smaller than the reader.
const TOLD_FAILURES: u32 = 2;

/// Why a try to have news was in vain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFailure {
    /// The store gave this instance no answer in time.
    Late,
    /// The instance that was asked has no news.
    NoNews,
    /// The store refused this instance.
    Refused,
}

/// The last reading of each kind.
#[derive(Clone, Debug)]
pub struct SpreadState {
    /// The routes, and the version of the store's content that they were read at.
    pub book: Option<(Arc<RouteTable>, StoreVersion)>,
    /// As of when these routes are known to be the newest.
    book_as_of: Option<Instant>,
    /// How often in a row the store did not answer this instance; a refusal counts like several late answers.
    failures: u32,
    journal: ListJournal,
    /// The members of all zones.
    pub members: Vec<MemberRow>,
    members_digest: u64,
    /// When the store was read for what is known; none before the first time.
    read: Option<Instant>,
    /// Counts what askers are told at once: readings, own ones and passed on ones, and that the store refuses.
    pub news_count: u64,
    /// Since when the store does not answer this instance, which was to read it, and there was no later reading.
    refused_since: Option<Instant>,
    /// Whether the store answered this instance itself the last time.
    pub reads_store: bool,
    /// Upstreams that ended under requests.
    pub reports: ReportJournal,
    /// Whether the last try was in vain.
    unreadable: bool,
    version: StoreVersion,
    /// The availability zone of the instance.
    zone: ZoneId,
}

impl SpreadState {
    /// The answer to an asker by what is known now. The first of another zone is to read the store itself if this one does not.
    pub fn answer(&self, request: &SpreadRequest, stale: Duration, now: Instant) -> SpreadReply {
        let age = self.age(now);
        let reports = self.reports.news_since(request.reports_known, now);
        let is_news = |age: &Duration| *age <= stale && self.may_pass_on(request);
        let Some(age) = age.filter(is_news) else {
            return SpreadReply::Unreadable {
                age: age.unwrap_or_default(),
                book: Box::new(self.passed_book(request, now)),
                reports,
            };
        };
        SpreadReply::News(Box::new(SpreadNews {
            age,
            book: self.passed_book(request, now),
            list: self
                .journal
                .change_since(request.list, &request.list_digests),
            mark: self.journal.mark(),
            members: (request.members != self.members_digest).then(|| self.members.clone()),
            refused: self.refused_for(now),
            reports,
            version: self.version,
        }))
    }

    /// The routes, if they were read after a version of the store's content.
    pub fn book_after(&self, after: StoreVersion) -> Option<&(Arc<RouteTable>, StoreVersion)> {
        self.book.as_ref().filter(|(_, version)| *version > after)
    }

    /// Whether an asker that saw `before` readings is to be answered before the time is up.
    pub fn has_news(
        &self,
        request: &SpreadRequest,
        before: u64,
        times: &SpreadTimes,
        now: Instant,
    ) -> bool {
        if self.news_count > before || !self.may_pass_on(request) {
            return true;
        }

        if request.at_once {
            return self.unreadable || self.book.is_some() && self.read.is_some();
        }
        let has_book = self.newer_book(request).is_some();
        if self.unreadable && has_book {
            return true;
        }
        let is_behind = request.news_age.is_some_and(|age| {
            let newer = |own| own + times.period / NEWER_SHARE < age;
            self.age(now).is_some_and(newer)
        });
        let has_more = is_behind || has_book || self.reports.has_news(request.reports_known);
        self.is_fresh(times.stale, now) && has_more
    }

    /// The digest of the members.
    pub fn members_digest(&self) -> u64 {
        self.members_digest
    }

    /// Nothing was read yet in this life; reports of ended upstreams count for `quarantine`.
    pub fn new(life: Incarnation, zone: ZoneId, quarantine: Duration) -> Self {
        Self {
            book: None,
            book_as_of: None,
            journal: ListJournal::new(life),
            members: Vec::new(),
            members_digest: 0,
            read: None,
            news_count: 0,
            reads_store: false,
            refused_since: None,
            failures: 0,
            reports: ReportJournal::new(life, quarantine),
            unreadable: false,
            version: 0,
            zone,
        }
    }

    /// A try was in vain. When it was the store that refused this instance, askers are told at once, so that another one tries
    /// before the news are old; when a reading took too long, at the second time in a row.
    pub fn note_failure(&mut self, failure: ReadFailure, now: Instant) {
        self.unreadable = true;
        let weight = match failure {
            ReadFailure::NoNews => return,
            ReadFailure::Late => 1,
            ReadFailure::Refused => TOLD_FAILURES,
        };
        self.reads_store = false;
        self.refused_since.get_or_insert(now);
        let was_told = self.failures >= TOLD_FAILURES;
        self.failures += weight;
        if !was_told && self.failures >= TOLD_FAILURES {
            self.news_count += 1;
        }
    }

    /// Takes a reading of the store by this instance in.
    pub fn take_list(&mut self, reading: &UpstreamSnapshot, began: Instant) {
        self.reads_store = true;
        self.take_records(reading, began);
    }

    /// Takes a reading that another instance passed on in, whose list has this digest. A list that is known already is not
    /// gone through row by row.
    pub fn take_passed(&mut self, reading: &UpstreamSnapshot, read: Instant, digest: &ListDigest) {
        self.reads_store = false;
        if reading.version < self.version {
            return;
        }
        if self.journal.digest() != digest {
            self.journal.take(&reading.records);
        }
        self.note_read(reading.version, read);
    }

    /// Takes routes in, unless they are older than those known.
    pub fn take_book(&mut self, book: RouteTable, version: StoreVersion, as_of: Option<Instant>) {
        let known = self.book.as_ref();
        let number = book.version;
        if known.is_none_or(|(known, _)| number > known.version) {
            self.book = Some((Arc::new(book), version));
            self.book_as_of = None;
        }
        if let Some(as_of) = as_of {
            self.note_newest(number, as_of);
        }
    }

    /// A version of the routes was the newest at a moment; that of the known ones counts.
    pub fn note_newest(&mut self, version: TableVersion, as_of: Instant) {
        let is_known = |(book, _): &(Arc<RouteTable>, StoreVersion)| book.version == version;
        if !self.book.as_ref().is_some_and(is_known) {
            return;
        }
        let before = self.book_as_of;
        self.book_as_of = before.max(Some(as_of));
        if before.is_some_and(|before| as_of.saturating_duration_since(before) >= LATE_BOOK) {
            self.news_count += 1;
        }
    }

    /// The routes that are known.
    pub fn book_reading(&self) -> Option<RouteSnapshot> {
        let (book, version) = self.book.as_ref()?;
        Some(RouteSnapshot {
            as_of: self.book_as_of,
            table: Some((**book).clone()),
            version: *version,
        })
    }

    /// The version of the known routes, and how long ago it was known to be the newest.
    fn book_age(&self, now: Instant) -> Option<BookAge> {
        let (book, _) = self.book.as_ref()?;
        Some(BookAge {
            age: now.saturating_duration_since(self.book_as_of?),
            version: book.version,
        })
    }

    /// Takes the members in.
    pub fn take_members(&mut self, members: Vec<MemberRow>) {
        self.members_digest = MemberRow::digest(&members);
        self.members = members;
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        self.read.map(|read| now.saturating_duration_since(read))
    }

    /// How long the store has refused this instance, once that counts.
    fn refused_for(&self, now: Instant) -> Option<Duration> {
        let since = self.refused_since?;
        let is_told = self.failures >= TOLD_FAILURES;
        is_told.then(|| now.saturating_duration_since(since))
    }

    /// The routes, if the asker has older ones.
    fn newer_book(&self, request: &SpreadRequest) -> Option<&(Arc<RouteTable>, StoreVersion)> {
        let book = self.book.as_ref();
        book.filter(|(book, _)| request.book.is_none_or(|have| book.version > have))
    }

    /// What an asker is told of the routes.
    fn passed_book(&self, request: &SpreadRequest, now: Instant) -> PassedBook {
        let newer = self.newer_book(request);
        PassedBook {
            age: self.book_age(now),
            copy: newer.map(|(book, version)| (BookCopy::from(&**book), *version)),
        }
    }

    /// Whether there is news that are not older than this.
    fn is_fresh(&self, limit: Duration, now: Instant) -> bool {
        self.book.is_some() && self.age(now).is_some_and(|age| age <= limit)
    }

    /// Whether what is known is for this asker. One of another zone that the store answers is to have it from a reader, so
    /// that no two zones live on each other's news.
    fn may_pass_on(&self, request: &SpreadRequest) -> bool {
        let waits = self.read.is_none() && !self.unreadable;
        self.reads_store || request.is_refused || waits || request.card.zone == self.zone
    }

    fn note_read(&mut self, version: StoreVersion, read: Instant) {
        if self.refused_since.is_some_and(|since| read > since) {
            self.refused_since = None;
            self.failures = 0;
        }
        self.read = Some(self.read.map_or(read, |before| before.max(read)));
        self.news_count += 1;
        self.unreadable = false;
        self.version = version;
    }

    fn take_records(&mut self, reading: &UpstreamSnapshot, read: Instant) {
        if reading.version < self.version {
            return;
        }
        self.journal.take(&reading.records);
        self.note_read(reading.version, read);
    }
}
