//! What an instance knows and shares with others.

use {
    crate::{
        ListDigest, ListJournal, MemberRow, PeerRoutes, ReportJournal, RouteTableAge,
        RouteTableCopy, SpreadReply, SpreadRequest, SpreadTimes, SpreadUpdate,
    },
    kernel::{Incarnation, TableVersion, ZoneId},
    policy::{EvacuationSet, StoreVersion},
    relay::{RouteSnapshot, RouteTable, UpstreamSnapshot},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Routes that were not confirmed as the newest for this long are announced at once when they are:
/// after an outage, callers' keys may depend on that confirmation.
const STALE_ROUTES_AGE: Duration = Duration::from_secs(2);

/// An update counts as newer than a requester's from this fraction of a period on. A smaller
/// difference may be network delay.
const NEWER_DIVISOR: u32 = 4;

/// Number of timed-out reads in a row that are announced to requesters. A single read may just have
/// taken too long, and the instances that would try in its place may be smaller than the reader.
const REPORTED_FAILURES: u32 = 2;

/// Why an attempt to get an update failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFailure {
    /// The store did not answer this instance in time.
    TimedOut,
    /// The instance that was asked has no update.
    NoUpdate,
    /// The store refused this instance.
    Refused,
}

/// The newest data of each kind.
#[derive(Clone, Debug)]
pub struct SpreadState {
    /// The evacuated availability zones; `None` before they are known.
    pub evacuations: Option<EvacuationSet>,
    /// The routes with the version of the store's content at which they were read.
    pub routes: Option<(Arc<RouteTable>, StoreVersion)>,
    /// Latest time at which these routes were known to be the newest.
    routes_as_of: Option<Instant>,
    /// When the last read that the store did not answer began, here or at an instance that passed
    /// its list on; `None` before the first one.
    failed_at: Option<Instant>,
    /// Number of consecutive failures of the store for this instance. A refusal counts as several
    /// timeouts.
    failures: u32,
    journal: ListJournal,
    /// Members of all zones.
    pub members: Vec<MemberRow>,
    members_digest: u64,
    /// When the store was read for the current data; `None` before the first read.
    read_at: Option<Instant>,
    /// Number of events that requesters are told of at once: own reads, updates of other instances,
    /// and refusals by the store.
    pub update_count: u64,
    /// Since when the store does not answer this instance, the reader, without any newer read by
    /// another instance.
    refused_since: Option<Instant>,
    /// Whether this instance reads the store itself: the last attempt got its data from there.
    pub reads_store: bool,
    /// Crash reports.
    pub reports: ReportJournal,
    /// Whether the last attempt to get an update failed.
    is_unavailable: bool,
    version: StoreVersion,
    /// Availability zone of the instance.
    zone: ZoneId,
}

impl SpreadState {
    /// Builds the answer to a requester from what is known now. The first instance of another zone
    /// is to read the store itself if this one does not.
    pub fn answer(&self, request: &SpreadRequest, stale: Duration, now: Instant) -> SpreadReply {
        let age = self.age(now);
        let reports = self.reports.updates_since(request.reports_position, now);
        let is_current = |age: &Duration| *age <= stale && self.may_pass_on(request);
        let Some(age) = age.filter(is_current) else {
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
            failed_for: self
                .failed_at
                .map(|began| now.saturating_duration_since(began)),
            members: (request.members_digest != self.members_digest).then(|| self.members.clone()),
            refused_for: self.refused_for(now),
            reports,
            version: self.version,
        }))
    }

    /// Whether the routes or the evacuations were read after a version of the store's content.
    pub fn has_routes_after(&self, after: StoreVersion) -> bool {
        self.routes_version() > after
    }

    /// Version of the store's content at which the routes or the evacuations were read, whichever is newer; the least
    /// version before either is known.
    fn routes_version(&self) -> StoreVersion {
        let routes = self.routes.as_ref().map(|(_, version)| *version);
        let evacuations = self.evacuations.as_ref().map(|set| set.version);
        routes.max(evacuations).unwrap_or_default()
    }

    /// Whether a requester that has seen `before` updates is to be answered before its time is up.
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
        let has_newer_routes =
            self.newer_routes(request).is_some() || self.newer_evacuations(request).is_some();
        if self.is_unavailable && has_newer_routes {
            return true;
        }
        let is_behind = request.update_age.is_some_and(|age| {
            let newer = |own| own + times.period / NEWER_DIVISOR < age;
            self.age(now).is_some_and(newer)
        });
        let has_more =
            is_behind || has_newer_routes || self.reports.has_updates(request.reports_position);
        self.is_fresh(times.max_staleness, now) && has_more
    }

    /// Digest of the members.
    pub fn members_digest(&self) -> u64 {
        self.members_digest
    }

    /// The state before anything is read. Crash reports expire after `quarantine`.
    pub fn new(incarnation: Incarnation, zone: ZoneId, quarantine: Duration) -> Self {
        Self {
            evacuations: None,
            routes: None,
            routes_as_of: None,
            journal: ListJournal::new(incarnation),
            members: Vec::new(),
            members_digest: 0,
            read_at: None,
            update_count: 0,
            reads_store: false,
            refused_since: None,
            failed_at: None,
            failures: 0,
            reports: ReportJournal::new(incarnation, quarantine),
            is_unavailable: false,
            version: StoreVersion::default(),
            zone,
        }
    }

    /// Records a failed attempt. Requesters are told at once when the store refused this instance,
    /// so that another one tries before the data gets too old. A read that timed out is announced
    /// at the second time in a row.
    pub fn record_failure(&mut self, failure: ReadFailure, now: Instant) {
        self.is_unavailable = true;
        let weight = match failure {
            ReadFailure::NoUpdate => return,
            ReadFailure::TimedOut => 1,
            ReadFailure::Refused => REPORTED_FAILURES,
        };
        self.reads_store = false;
        self.refused_since.get_or_insert(now);
        let was_reported = self.failures >= REPORTED_FAILURES;
        self.failures += weight;
        if !was_reported && self.failures >= REPORTED_FAILURES {
            self.update_count += 1;
        }
    }

    /// Records when a read that the store did not answer began.
    pub fn note_failed_read(&mut self, began: Instant) {
        self.failed_at = self.failed_at.max(Some(began));
    }

    /// When the last read that the store did not answer began; `None` before the first one.
    pub fn failed_at(&self) -> Option<Instant> {
        self.failed_at
    }

    /// Applies a list that this instance read from the store.
    pub fn apply_store_list(&mut self, snapshot: &UpstreamSnapshot, began: Instant) {
        self.reads_store = true;
        self.apply_records(snapshot, began);
    }

    /// Applies a list with this digest that another instance sent. A list that is known already is
    /// not compared row by row.
    pub fn apply_peer_list(
        &mut self,
        snapshot: &UpstreamSnapshot,
        read: Instant,
        digest: &ListDigest,
    ) {
        self.reads_store = false;
        if snapshot.version < self.version {
            return;
        }
        if self.journal.digest() != digest {
            self.journal.apply(&snapshot.records);
        }
        self.note_read(snapshot.version, read);
    }

    /// Applies routes unless they are older than the known ones.
    pub fn apply_routes(
        &mut self,
        table: RouteTable,
        version: StoreVersion,
        as_of: Option<Instant>,
    ) {
        let known = self.routes.as_ref();
        let number = table.version;
        if known.is_none_or(|(known, _)| number > known.version) {
            self.routes = Some((Arc::new(table), version));
            self.routes_as_of = None;
        }
        if let Some(as_of) = as_of {
            self.note_current_routes(number, as_of);
        }
    }

    /// Applies the evacuated availability zones unless newer ones are known.
    pub fn apply_evacuations(&mut self, evacuations: EvacuationSet) {
        let known = self.evacuations.as_ref();
        if known.is_none_or(|known| evacuations.version > known.version) {
            self.evacuations = Some(evacuations);
        }
    }

    /// Records that a version of the routes was the newest at `as_of`. It only applies to the known
    /// version.
    pub fn note_current_routes(&mut self, version: TableVersion, as_of: Instant) {
        let is_known = |(table, _): &(Arc<RouteTable>, StoreVersion)| table.version == version;
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

    /// The known routes.
    pub fn routes_snapshot(&self) -> Option<RouteSnapshot> {
        let (table, _) = self.routes.as_ref()?;
        Some(RouteSnapshot {
            as_of: self.routes_as_of,
            evacuations: self.evacuations.clone(),
            table: Some((**table).clone()),
            version: self.routes_version(),
        })
    }

    /// Version of the known routes, and how long ago it was known to be the newest.
    fn routes_age(&self, now: Instant) -> Option<RouteTableAge> {
        let (table, _) = self.routes.as_ref()?;
        Some(RouteTableAge {
            age: now.saturating_duration_since(self.routes_as_of?),
            version: table.version,
        })
    }

    /// Replaces the members.
    pub fn apply_members(&mut self, members: Vec<MemberRow>) {
        self.members_digest = MemberRow::digest(&members);
        self.members = members;
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|read| now.saturating_duration_since(read))
    }

    /// How long the store has refused this instance; `None` until that is announced.
    fn refused_for(&self, now: Instant) -> Option<Duration> {
        let since = self.refused_since?;
        let is_reported = self.failures >= REPORTED_FAILURES;
        is_reported.then(|| now.saturating_duration_since(since))
    }

    /// The routes, if the requester has older ones.
    fn newer_routes(&self, request: &SpreadRequest) -> Option<&(Arc<RouteTable>, StoreVersion)> {
        let table = self.routes.as_ref();
        table.filter(|(table, _)| request.routes.is_none_or(|have| table.version > have))
    }

    /// The evacuated availability zones, if the requester knows older ones.
    fn newer_evacuations(&self, request: &SpreadRequest) -> Option<&EvacuationSet> {
        let known = self.evacuations.as_ref();
        known.filter(|known| request.evacuations.is_none_or(|have| known.version > have))
    }

    /// What a requester is sent about the routes.
    fn routes_update(&self, request: &SpreadRequest, now: Instant) -> PeerRoutes {
        let newer = self.newer_routes(request);
        PeerRoutes {
            age: self.routes_age(now),
            copy: newer.map(|(table, version)| (RouteTableCopy::from(&**table), *version)),
            evacuations: self.newer_evacuations(request).cloned(),
        }
    }

    /// Whether there is data up to this age.
    fn is_fresh(&self, limit: Duration, now: Instant) -> bool {
        self.routes.is_some() && self.age(now).is_some_and(|age| age <= limit)
    }

    /// Whether this requester may get the known data. One of another zone that the store answers
    /// must get it from a reader, so that no two zones keep passing the same data back and forth.
    fn may_pass_on(&self, request: &SpreadRequest) -> bool {
        let is_starting = self.read_at.is_none() && !self.is_unavailable;
        self.reads_store || request.is_refused || is_starting || request.member.zone == self.zone
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

    fn apply_records(&mut self, snapshot: &UpstreamSnapshot, read: Instant) {
        if snapshot.version < self.version {
            return;
        }
        self.journal.apply(&snapshot.records);
        self.note_read(snapshot.version, read);
    }
}
