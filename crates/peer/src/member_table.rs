//! The membership of one instance: a state machine without I/O that maps events to actions.
//!
//! Every instance holds a record of every other. Records change rarely; changes are gossiped with the heartbeats to the
//! neighbours, and anti-entropy by digests repairs what was lost. Members declare only members of their own zone dead,
//! and only while at least half of the zone is alive to them: an isolated zone or rack therefore can't declare the rest
//! of the system dead. The two sides of a partition hold different members while it lasts; afterwards the superseding
//! records win.
//!
//! `member_timer.rs` has the periodic part, `member_merge.rs` and `member_sync.rs` handle the messages of peers.

use {
    crate::{
        cell_summary::CellSummary,
        cell_table::{CellKey, CellTable},
        gossip_queue::GossipQueue,
        mark_table::{MarkKey, MarkTable},
        member_action::MemberAction,
        member_event::{ListedMember, MemberEvent},
        member_record::{MemberRecord, MemberStanding},
        member_settings::MemberSettings,
        member_state::MemberState,
        member_update::MemberUpdate,
        member_watch::MemberWatch,
        record_table::RecordTable,
        table_revision::TableRevision,
        upstream_mark::UpstreamMark,
        version_floors::{FLOOR_STEPS, NO_FLOOR, VersionFloors},
        zone_table::ZoneTable,
    },
    kernel::{Incarnation, InstanceId, TableVersion, UpstreamId, ZoneId},
    route::load_report::LeavingCause,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// A table pull in flight.
#[derive(Clone, Debug)]
pub(crate) struct PendingPull {
    pub(crate) until: Instant,
    pub(crate) version: TableVersion,
}

/// The state machine. Only `on_event` changes it.
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(crate) cell_gossip: GossipQueue<CellKey>,
    pub(crate) cells: CellTable,
    pub(crate) contacts: BTreeSet<InstanceId>,
    pub(crate) floors: VersionFloors,
    pub(crate) instance: InstanceId,
    pub(crate) last_heartbeat: Instant,
    pub(crate) mark_gossip: GossipQueue<MarkKey>,
    pub(crate) mark_serial: u32,
    pub(crate) marks: MarkTable,
    pub(crate) neighbours: BTreeSet<InstanceId>,
    pub(crate) next_heartbeat: Instant,
    pub(crate) next_probe: Instant,
    pub(crate) next_sync: Instant,
    pub(crate) platform_contact: Option<Instant>,
    pub(crate) probe_cursor: usize,
    pub(crate) pull: Option<PendingPull>,
    pub(crate) record_gossip: GossipQueue<InstanceId>,
    pub(crate) records: RecordTable,
    pub(crate) ring_stale: bool,
    pub(crate) sequence: u64,
    pub(crate) settings: MemberSettings,
    pub(crate) stale: Option<Incarnation>,
    pub(crate) superseder_silent_since: Option<Instant>,
    pub(crate) table: TableRevision,
    pub(crate) watches: BTreeMap<InstanceId, MemberWatch>,
    pub(crate) zone: ZoneId,
    pub(crate) zones: ZoneTable,
}

impl MemberTable {
    /// Creates a table that knows only its own instance, which is not ready.
    pub fn new(
        now: Instant,
        identity: MemberRecord,
        contacts: BTreeSet<InstanceId>,
        settings: MemberSettings,
    ) -> Self {
        let mut records = RecordTable::default();
        let instance = identity.instance.clone();
        let zone = identity.zone.clone();
        records.put(identity);
        Self {
            cell_gossip: GossipQueue::new(1),
            cells: CellTable::new(settings.summary_lifetime, settings.mark_limit),
            contacts,
            floors: [NO_FLOOR; FLOOR_STEPS + 1],
            instance,
            last_heartbeat: now,
            mark_gossip: GossipQueue::new(settings.rumour_rounds),
            mark_serial: 0,
            marks: MarkTable::new(settings.mark_lifetime, settings.mark_limit),
            neighbours: BTreeSet::new(),
            next_heartbeat: now,
            next_probe: now,
            next_sync: now,
            platform_contact: None,
            probe_cursor: 0,
            pull: None,
            record_gossip: GossipQueue::new(settings.rumour_rounds),
            records,
            ring_stale: true,
            sequence: 0,
            settings,
            stale: None,
            superseder_silent_since: None,
            table: TableRevision::default(),
            watches: BTreeMap::new(),
            zone,
            zones: ZoneTable::default(),
        }
    }

    /// The initial record of an instance.
    pub fn identity(
        instance: InstanceId,
        incarnation: Incarnation,
        zone: ZoneId,
        address: SocketAddr,
    ) -> MemberRecord {
        MemberRecord {
            address,
            incarnation,
            instance,
            revision: 0,
            standing: MemberStanding::Alive,
            state: MemberState::NotReady,
            zone,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`. `now` never decreases.
    pub fn on_event(&mut self, now: Instant, event: MemberEvent, actions: &mut Vec<MemberAction>) {
        match event {
            MemberEvent::Cell(summary) => self.on_cell(now, summary),
            MemberEvent::Close => self.on_close(now, actions),
            MemberEvent::Listed(members) => self.on_listed(members, actions),
            MemberEvent::Mark { cause, upstream } => self.on_mark(now, upstream, cause, actions),
            MemberEvent::Message { from, message } => {
                self.on_message(now, &from, message, actions);
            }
            MemberEvent::PlatformContact(at) => {
                self.platform_contact = self.platform_contact.max(Some(at));
            }
            MemberEvent::Renewed(incarnation) => self.on_renewed(now, incarnation, actions),
            MemberEvent::State(state) => self.on_state(now, state),
            MemberEvent::Table(revision) => self.on_table(now, revision, actions),
            MemberEvent::Tick => self.on_tick(now, actions),
        }
    }

    /// The cell summaries that have not expired.
    pub fn cells(&self) -> impl Iterator<Item = &CellSummary> {
        self.cells.all()
    }

    /// The members that are alive and reachable from here, including this instance.
    pub fn heard(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.live().filter(|record| {
            record.standing == MemberStanding::Alive && !self.is_unreachable(&record.instance)
        })
    }

    /// This instance's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.own().incarnation
    }

    /// This instance's name.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Whether the others consider this incarnation dead or superseded: it may not act as an allocator.
    pub fn is_stale(&self) -> bool {
        self.stale.is_some()
    }

    /// The marks that have not expired, with their age at `now`.
    pub fn marks(&self, now: Instant) -> Vec<UpstreamMark> {
        self.marks.all(now)
    }

    /// Whether a member is unreachable from here although it was not declared dead.
    pub fn is_unreachable(&self, instance: &str) -> bool {
        self.watches
            .get(instance)
            .is_some_and(|watch| watch.is_unreachable)
    }

    /// The records of all members, including this instance.
    pub fn members(&self) -> &RecordTable {
        &self.records
    }

    /// The instances that this one exchanges heartbeats with.
    pub fn neighbours(&self) -> &BTreeSet<InstanceId> {
        &self.neighbours
    }

    /// When the next [`MemberEvent::Tick`] is due.
    pub fn next_wake(&self) -> Instant {
        self.next_heartbeat
    }

    /// When the platform last answered this instance or a peer that reported it, by this instance's clock.
    pub fn platform_contact(&self) -> Option<Instant> {
        self.platform_contact
    }

    /// The table in force at this instance.
    pub fn table(&self) -> TableRevision {
        self.table
    }

    /// The lowest table version among the serving members of the own zone, as far as known here.
    pub fn zone_floor(&self) -> TableVersion {
        self.floors[FLOOR_STEPS]
    }

    /// The other zones as last reported.
    pub fn zones(&self) -> &ZoneTable {
        &self.zones
    }

    pub(crate) fn own(&self) -> &MemberRecord {
        self.records
            .get(&self.instance)
            .expect("the own record is put at the start and never removed")
    }

    /// Changes the own record with a new revision and schedules it for the next heartbeat.
    pub(crate) fn change_own(&mut self, now: Instant, change: impl FnOnce(&mut MemberRecord)) {
        let mut record = self.own().clone();
        record.revision += 1;
        change(&mut record);
        self.records.put(record);
        self.record_gossip.push(self.instance.clone());
        self.schedule_flush(now);
    }

    /// Brings the next heartbeat forward, so that updates do not wait for the interval.
    pub(crate) fn schedule_flush(&mut self, now: Instant) {
        let soon = (self.last_heartbeat + self.settings.flush_gap).max(now);
        self.next_heartbeat = self.next_heartbeat.min(soon);
    }

    /// How long a member may be silent before it is declared dead.
    pub(crate) fn death_timeout(&self) -> Duration {
        self.settings.suspicion_timeout + self.settings.gone_timeout
    }

    /// The version that this instance contributes to the zone's floor.
    pub(crate) fn own_floor(&self) -> TableVersion {
        match self.own().state {
            MemberState::Serving => self.table.version,
            MemberState::Leaving | MemberState::NotReady => NO_FLOOR,
        }
    }

    fn on_cell(&mut self, now: Instant, summary: CellSummary) {
        let key = (summary.cell.clone(), summary.by.clone());
        if self.cells.put(now, summary) {
            self.cell_gossip.push(key);
        }
    }

    fn on_listed(&mut self, members: Vec<ListedMember>, actions: &mut Vec<MemberAction>) {
        for member in members {
            if member.instance == self.instance {
                continue;
            }
            if member.leaving && self.records.get(&member.instance).is_some() {
                let instance = member.instance.clone();
                actions.push(MemberAction::Notify(MemberUpdate::MemberLeaving {
                    instance,
                }));
            }
            if self.contacts.len() >= self.settings.member_limit {
                continue;
            }
            self.contacts.insert(member.instance);
        }
    }

    fn on_mark(
        &mut self,
        now: Instant,
        upstream: UpstreamId,
        cause: Option<LeavingCause>,
        actions: &mut Vec<MemberAction>,
    ) {
        self.mark_serial += 1;
        let mark = UpstreamMark {
            age: Duration::ZERO,
            by: self.instance.clone(),
            cause,
            incarnation: self.incarnation(),
            serial: self.mark_serial,
            upstream,
        };
        self.merge_mark(now, mark, true, actions);
    }

    fn on_renewed(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        actions: &mut Vec<MemberAction>,
    ) {
        let dead = self.stale.unwrap_or_default().max(self.incarnation());
        if incarnation <= dead {
            actions.push(MemberAction::Renew { above: dead });
            return;
        }
        self.stale = None;
        self.superseder_silent_since = None;
        self.mark_serial = 0;
        self.sequence = 0;
        self.change_own(now, |own| {
            own.incarnation = incarnation;
            own.revision = 0;
            own.standing = MemberStanding::Alive;
        });
        let update = MemberUpdate::Renewed { incarnation };
        actions.push(MemberAction::Notify(update));
    }

    fn on_state(&mut self, now: Instant, state: MemberState) {
        if self.own().state == state {
            return;
        }
        self.change_own(now, |own| own.state = state);
    }

    fn on_table(&mut self, now: Instant, revision: TableRevision, actions: &mut Vec<MemberAction>) {
        if revision.version < self.table.version {
            actions.push(MemberAction::Notify(MemberUpdate::VersionRegressed {
                ours: self.table.version,
                version: revision.version,
            }));
            return;
        }
        let is_newer = revision.version > self.table.version;
        self.table = revision;
        if is_newer {
            self.pull = None;
            self.schedule_flush(now);
        }
    }
}
