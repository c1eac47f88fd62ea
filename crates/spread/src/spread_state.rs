//! What an instance has read from the store and tells others.

use {
    crate::{BookCopy, ListJournal, MemberRow, SpreadNews, SpreadReply, SpreadRequest},
    kernel::Incarnation,
    relay::{RouteBook, StoreVersion, UpstreamReading},
    std::{sync::Arc, time::Instant},
};

/// The last reading of each kind.
#[derive(Clone, Debug)]
pub struct SpreadState {
    /// The routes, and the version of the store's content that they were read at.
    pub book: Option<(Arc<RouteBook>, StoreVersion)>,
    /// Whether the last reading came from another instance.
    pub follows: bool,
    journal: ListJournal,
    /// The members of the zone.
    pub members: Vec<MemberRow>,
    members_digest: u64,
    outage_ended: Option<Instant>,
    /// Counts the readings of the list from the store, failed ones included.
    pub readings: u64,
    /// Whether the last reading of the list failed.
    pub unreadable: bool,
    version: StoreVersion,
}

impl SpreadState {
    /// The answer to an asker.
    pub fn answer(&self, request: &SpreadRequest, now: Instant) -> SpreadReply {
        if self.unreadable {
            return SpreadReply::Unreadable;
        }
        let book = self.book.as_ref();
        let book = book.filter(|(book, _)| request.book.is_none_or(|have| book.version > have));
        let ended = self.outage_ended;
        SpreadReply::News(Box::new(SpreadNews {
            book: book.map(|(book, version)| (BookCopy::from(&**book), *version)),
            list: self.journal.change_since(request.list),
            mark: self.journal.mark(),
            members: (request.members != self.members_digest).then(|| self.members.clone()),
            outage_age: ended.map(|ended| now.saturating_duration_since(ended)),
            version: self.version,
        }))
    }

    /// The routes, if they were read after a version of the store's content.
    pub fn book_after(&self, after: StoreVersion) -> Option<&(Arc<RouteBook>, StoreVersion)> {
        self.book.as_ref().filter(|(_, version)| *version > after)
    }

    /// Whether an asker has older routes.
    pub fn has_newer_book(&self, request: &SpreadRequest) -> bool {
        let book = self.book.as_ref();
        book.is_some_and(|(book, _)| request.book.is_none_or(|have| book.version > have))
    }

    /// The digest of the member rows.
    pub fn members_digest(&self) -> u64 {
        self.members_digest
    }

    /// Nothing was read yet in this life.
    pub fn new(life: Incarnation) -> Self {
        Self {
            book: None,
            follows: false,
            journal: ListJournal::new(life),
            members: Vec::new(),
            members_digest: 0,
            outage_ended: None,
            readings: 0,
            unreadable: false,
            version: 0,
        }
    }

    /// The list could not be read.
    pub fn note_failure(&mut self) {
        self.readings += 1;
        self.unreadable = true;
    }

    /// Takes a reading of the list in.
    pub fn take_list(&mut self, reading: &UpstreamReading, now: Instant) {
        self.readings += 1;
        if std::mem::take(&mut self.unreadable) {
            self.outage_ended = Some(now);
        }
        self.journal.take(&reading.records);
        self.version = reading.version;
    }

    /// Takes routes in, unless they are older than those known.
    pub fn take_book(&mut self, book: RouteBook, version: StoreVersion) {
        let known = self.book.as_ref();
        if known.is_none_or(|(known, _)| book.version > known.version) {
            self.book = Some((Arc::new(book), version));
        }
    }

    /// Takes the members in.
    pub fn take_members(&mut self, members: Vec<MemberRow>) {
        self.members_digest = MemberRow::digest(&members);
        self.members = members;
    }
}
