//! Messages with which instances share what they read from the store. The order of fields and
//! variants is the wire format.

use {
    crate::{MemberRow, PartNumber},
    kernel::{Incarnation, TableVersion, UpstreamId},
    policy::{AgedReport, EvacuationSet, KeySalt, RateNote, StoreVersion, UpstreamRecord},
    relay::{CallerLimits, CustomerRow, CustomerTable, RouteTable, ServiceInfo, WorkRoute},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Position in a journal that one instance keeps: its incarnation, and the number of changes since
/// it started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JournalPosition {
    /// Incarnation of the instance that keeps the journal. Revisions of different incarnations are
    /// unrelated.
    pub incarnation: Incarnation,
    /// Number of times the content changed.
    pub revision: u64,
}

/// Requests the next update from another instance, which holds the request back until it has one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SpreadRequest {
    /// Whether the requester wants what is known now, without waiting for the next read: it has
    /// nothing, or only stale data.
    pub is_immediate: bool,
    /// Version of the evacuated availability zones that the requester knows.
    pub evacuations: Option<StoreVersion>,
    /// Version of the routes that the requester has.
    pub routes: Option<TableVersion>,
    /// The requester.
    pub member: MemberRow,
    /// Whether the store does not answer the requester, so that any data helps it.
    pub is_refused: bool,
    /// Position of the requester's list, if that list came from the receiver.
    pub list: Option<JournalPosition>,
    /// Digests of the parts of the requester's list, where `list` does not tell what it has.
    pub list_digests: Vec<u64>,
    /// Digest of the members that the requester knows.
    pub members_digest: u64,
    /// Age of the requester's data: how long ago it was read from the store; `None` without data.
    pub update_age: Option<Duration>,
    /// Whether instances before the receiver did not answer the requester.
    pub has_skipped_readers: bool,
    /// Whether the store answers the requester.
    pub reads_store: bool,
    /// Rate limits of upstreams that changed recently.
    pub rates: Vec<RateNote>,
    /// Digest of the rate limits that the requester knows.
    pub rates_digest: u64,
    /// Crash reports that the receiver may lack.
    pub reports: Vec<AgedReport>,
    /// Position up to which the requester has the receiver's crash reports.
    pub reports_position: Option<JournalPosition>,
    /// How long the requester has already waited for earlier requests; the receiver holds this one
    /// back that much less.
    pub waited: Duration,
}

/// A change of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ListChange {
    /// Changes since the requester's position.
    Changes {
        /// Upstreams that are new or differ.
        changed: Vec<UpstreamRecord>,
        /// Upstreams that are no longer listed.
        removed: Vec<UpstreamId>,
    },
    /// Parts of the list whose digest differs from the requester's.
    Parts {
        /// Whether no further part differs. If not, the requester asks again at once.
        is_last: bool,
        /// Some or all of the differing parts.
        parts: Vec<ListPart>,
    },
}

/// All rows of one part of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListPart {
    /// Index of the part.
    pub number: PartNumber,
    /// Rows of the part; empty if it has none.
    pub records: Vec<UpstreamRecord>,
}

/// The routes as they are sent to another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteTableCopy {
    /// The customers with digests of their keys: the keys themselves are never sent to another
    /// instance.
    customers: Option<(KeySalt, Vec<CustomerRow>)>,
    limits: CallerLimits,
    routes: Vec<WorkRoute>,
    services: Vec<ServiceInfo>,
    version: TableVersion,
}

/// How long ago a version of the routes was known to be the newest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTableAge {
    /// Upper bound of the age: the true age is never more.
    pub age: Duration,
    /// The version that the age applies to.
    pub version: TableVersion,
}

/// What the requester does not know about the routes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerRoutes {
    /// Age of the answering instance's routes; `None` while it was never known to have the newest
    /// ones.
    pub age: Option<RouteTableAge>,
    /// The routes, if the requester has older ones, with the version of the store's content at
    /// which they were read.
    pub copy: Option<(RouteTableCopy, StoreVersion)>,
    /// The evacuated availability zones, if the requester knows older ones.
    pub evacuations: Option<EvacuationSet>,
}

/// Crash reports that the requester does not know.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportUpdate {
    /// Position in the report journal of the answering instance.
    pub position: JournalPosition,
    /// Reports since the requester's position.
    pub reports: Vec<AgedReport>,
}

/// The result of one read of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SpreadUpdate {
    /// How long ago the store was read for this update.
    pub age: Duration,
    /// What changed in the routes.
    pub routes: PeerRoutes,
    /// What changed in the list.
    pub list: ListChange,
    /// Position of the list after the change, or after its last part.
    pub position: JournalPosition,
    /// How long ago the last read that the store did not answer began; `None` if all were answered.
    pub failed_for: Option<Duration>,
    /// Members of all zones, if the requester's differ.
    pub members: Option<Vec<MemberRow>>,
    /// How long the store has refused the answering instance, the reader, without any newer read by
    /// another instance.
    pub refused_for: Option<Duration>,
    /// New crash reports.
    pub reports: ReportUpdate,
    /// Version of the store's content at which the list was read.
    pub version: StoreVersion,
}

/// An answer with the time it was held back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TimedReply {
    /// How long the request was held back. The rest of the round trip is network delay and counts
    /// towards the age of everything in the answer.
    pub held: Duration,
    /// The rate limits of upstreams, if the requester knows others.
    pub rates: Vec<RateNote>,
    /// The answer itself.
    pub reply: SpreadReply,
}

/// Answer to a [`SpreadRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum SpreadReply {
    /// An update.
    Update(Box<SpreadUpdate>),
    /// The answering instance has no update, or it does not read the store itself and the requester
    /// is to read it for another zone.
    NoUpdate {
        /// Age of the answering instance's data; zero without data.
        age: Duration,
        /// The routes are passed on also while no instance can read the store, so that an edit read
        /// by one zone reaches all.
        routes: Box<PeerRoutes>,
        /// Crash reports are passed on also while no instance can read the store.
        reports: ReportUpdate,
    },
}

impl RouteTableCopy {
    /// Builds the lookup structure that requests are routed with.
    pub fn into_table(self) -> RouteTable {
        let customers = self.customers;
        let customers = customers.map(|(salt, rows)| CustomerTable::new(salt, rows));
        RouteTable::new(self.version, self.routes, self.services, self.limits)
            .for_customers(customers)
    }
}

impl SpreadUpdate {
    /// Latest time at which the store can have been read for this update. The transit time counts:
    /// the requester may have been suspended meanwhile.
    pub fn read_at(&self, transit: Duration, now: Instant) -> Instant {
        now.checked_sub(self.age + transit).unwrap_or(now)
    }
}

impl From<&RouteTable> for RouteTableCopy {
    fn from(table: &RouteTable) -> Self {
        let services = table.services.values();
        Self {
            customers: table.customers.as_ref().map(CustomerTable::rows),
            limits: table.limits,
            routes: table.routes().map(|route| (**route).clone()).collect(),
            services: services.map(|service| (**service).clone()).collect(),
            version: table.version,
        }
    }
}
