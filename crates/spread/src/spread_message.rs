//! What instances say to each other about readings of the store.

use {
    crate::{MemberRow, PartNumber},
    kernel::{Incarnation, TableVersion, UpstreamId},
    policy::{AgedReport, KeySalt, UpstreamRecord},
    relay::{
        CallerLimits, CustomerRow, CustomerTable, RouteTable, ServiceInfo, StoreVersion, WorkRoute,
    },
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// The state of a reader's list: which life of which reader, and how many changes it has seen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JournalPosition {
    /// The reader's life.
    pub life: Incarnation,
    /// Counts the readings that differed from the one before.
    pub revision: u64,
}

/// Asks another instance for its next reading.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SpreadRequest {
    /// Whether what the one asked knows already will do: the asker has nothing, or only what is old.
    pub is_immediate: bool,
    /// The version of the routes that the asker has.
    pub routes: Option<TableVersion>,
    /// The asker.
    pub member: MemberRow,
    /// Whether the store does not answer the asker, so that whatever is known helps it.
    pub is_refused: bool,
    /// The list that the asker has, if it came from the one asked.
    pub list: Option<JournalPosition>,
    /// The digests of the parts of the asker's list, where no mark tells what it has.
    pub list_digests: Vec<u64>,
    /// The digest of the members that the asker has.
    pub members: u64,
    /// How long ago the store was read for what the asker has; none when it has nothing.
    pub update_age: Option<Duration>,
    /// Whether instances before the one asked gave the asker no answer.
    pub has_skipped_readers: bool,
    /// Whether the store answers the asker.
    pub reads_store: bool,
    /// Upstreams that ended under requests, which the one asked may not know of.
    pub reports: Vec<AgedReport>,
    /// The reports that the asker has from the one asked.
    pub reports_position: Option<JournalPosition>,
    /// How long the asker has waited for an answer to earlier questions: this one is held back that much less.
    pub waited: Duration,
}

/// The list, or what changed in it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ListChange {
    /// What changed since the list that the asker has.
    Changes {
        /// New upstreams, and those of which something changed.
        changed: Vec<UpstreamRecord>,
        /// Upstreams that are no longer listed.
        gone: Vec<UpstreamId>,
    },
    /// Parts of the list of which the asker has another digest.
    Parts {
        /// Whether no further part differs. If not, the asker asks again at once.
        is_last: bool,
        /// Some of those that differ.
        parts: Vec<ListPart>,
    },
}

/// All rows of a part of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListPart {
    /// Which part.
    pub number: PartNumber,
    /// Its rows.
    pub records: Vec<UpstreamRecord>,
}

/// The routes as they are passed on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutesCopy {
    /// The customers by digests of their keys: the keys themselves go to no other instance.
    customers: Option<(KeySalt, Vec<CustomerRow>)>,
    limits: CallerLimits,
    routes: Vec<WorkRoute>,
    services: Vec<ServiceInfo>,
    version: TableVersion,
}

/// How long ago a version of the routes was known to be the newest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoutesAge {
    /// How long ago; never less than it is.
    pub age: Duration,
    /// The version.
    pub version: TableVersion,
}

/// The routes as far as the asker does not know them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RoutesUpdate {
    /// How old the knowledge of the routes is at the one asked.
    pub age: Option<RoutesAge>,
    /// The routes, when the asker has older ones, with the version of the store's content that they were read at.
    pub copy: Option<(RoutesCopy, StoreVersion)>,
}

/// Upstreams that ended under requests, as far as the asker does not know them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportUpdate {
    /// The state of the reports at the one asked.
    pub position: JournalPosition,
    /// The reports.
    pub reports: Vec<AgedReport>,
}

/// One reading of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SpreadUpdate {
    /// How long ago the store was read for this.
    pub age: Duration,
    /// The routes.
    pub routes: RoutesUpdate,
    /// The list.
    pub list: ListChange,
    /// The state that the list has after the change, or after its last part.
    pub position: JournalPosition,
    /// The members of all zones, when the asker has others.
    pub members: Option<Vec<MemberRow>>,
    /// How long the store has refused the one asked, which was to read it, without a reading of anybody since.
    pub refused: Option<Duration>,
    /// Upstreams that ended under requests.
    pub reports: ReportUpdate,
    /// The version of the store's content that the list was read at.
    pub version: StoreVersion,
}

/// An answer, and how long it took to be one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TimedReply {
    /// How long the question was held back. What it took beyond that was its way, and makes all that is told older.
    pub held: Duration,
    /// The answer.
    pub reply: SpreadReply,
}

/// What one knows that was asked by a [`SpreadRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SpreadReply {
    /// A reading.
    Update(Box<SpreadUpdate>),
    /// The one asked has no news, or does not read the store and is to read it for another zone.
    NoUpdate {
        /// How long ago the store was read for what it has; zero when it has nothing.
        age: Duration,
        /// The routes: an edit that one zone has read is known to all also while nobody can read the store.
        routes: Box<RoutesUpdate>,
        /// Upstreams that ended under requests: they are passed on also while nobody can read the store.
        reports: ReportUpdate,
    },
}

impl RoutesCopy {
    /// The routes in the form that requests are found with.
    pub fn into_book(self) -> RouteTable {
        let customers = self.customers;
        let customers = customers.map(|(salt, rows)| CustomerTable::new(salt, rows));
        RouteTable::new(self.version, self.routes, self.services, self.limits)
            .for_customers(customers)
    }
}

impl SpreadUpdate {
    /// When the store was read for this, at the latest; its way may have been long, as when the asker stood still meanwhile.
    pub fn read_at(&self, transit: Duration, now: Instant) -> Instant {
        now.checked_sub(self.age + transit).unwrap_or(now)
    }
}

impl From<&RouteTable> for RoutesCopy {
    fn from(book: &RouteTable) -> Self {
        let services = book.services.values();
        Self {
            customers: book.customers.as_ref().map(CustomerTable::rows),
            limits: book.limits,
            routes: book.routes().map(|route| (**route).clone()).collect(),
            services: services.map(|service| (**service).clone()).collect(),
            version: book.version,
        }
    }
}
