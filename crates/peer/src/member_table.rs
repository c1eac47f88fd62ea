//! The membership of one instance: a pure core that hears events and decides what to send and to tell.
//!
//! Every instance holds a record of every other. A record changes seldom; its changes go with the heartbeats to the
//! neighbours, who pass them on, and digests find what was lost. The members of a zone judge only members of their own
//! zone, and only while they hear at least half of it: so a zone that is cut off, or a rack, can't declare the rest of
//! the system gone. Two sides of a partition hold different members for its duration; after it the greater records win.
//!
//! The files `member_timer.rs`, `member_merge.rs` and `member_sync.rs` have the parts: what time brings, and what peers bring.

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

/// A pull of the table that is under way.
#[derive(Clone, Debug)]
pub(crate) struct PendingPull {
    pub(crate) until: Instant,
    pub(crate) version: TableVersion,
}

/// The core. `on_event` is all that changes it.
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
    pub(crate) superseder_silent: Option<Instant>,
    pub(crate) table: TableRevision,
    pub(crate) watches: BTreeMap<InstanceId, MemberWatch>,
    pub(crate) zone: ZoneId,
    pub(crate) zones: ZoneTable,
}

impl MemberTable {
    /// A table that knows its own instance only, which is not ready.
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
            superseder_silent: None,
            table: TableRevision::default(),
            watches: BTreeMap::new(),
            zone,
            zones: ZoneTable::default(),
        }
    }

    /// The record that a new instance starts with.
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

    /// Takes one event and appends what it decides to `actions`. `now` never goes down.
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
            MemberEvent::Table(mark) => self.on_table(now, mark, actions),
            MemberEvent::Tick => self.on_tick(now, actions),
        }
    }

    /// The summaries of cells that count now.
    pub fn cells(&self) -> impl Iterator<Item = &CellSummary> {
        self.cells.all()
    }

    /// The members that are heard, here or by others, and not gone, suspected or cut off; this instance among them.
    pub fn heard(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.live().filter(|record| {
            record.standing == MemberStanding::Alive && !self.is_unreachable(&record.instance)
        })
    }

    /// This instance's life.
    pub fn incarnation(&self) -> Incarnation {
        self.own().incarnation
    }

    /// This instance.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Whether this instance's life is over in the others' eyes: it may not act as an allocator.
    pub fn is_stale(&self) -> bool {
        self.stale.is_some()
    }

    /// The marks that hold, as of `now`.
    pub fn marks(&self, now: Instant) -> Vec<UpstreamMark> {
        self.marks.all(now)
    }

    /// Whether a member can't be heard from here although it was not declared gone.
    pub fn is_unreachable(&self, instance: &str) -> bool {
        self.watches.get(instance).is_some_and(|watch| watch.cut)
    }

    /// The members' records, this instance's own among them.
    pub fn members(&self) -> &RecordTable {
        &self.records
    }

    /// Whom this instance exchanges heartbeats with.
    pub fn neighbours(&self) -> &BTreeSet<InstanceId> {
        &self.neighbours
    }

    /// When the next [`MemberEvent::Tick`] is due.
    pub fn next_wake(&self) -> Instant {
        self.next_heartbeat
    }

    /// When the platform answered this instance, or one that told of it, by this instance's clock.
    pub fn platform_contact(&self) -> Option<Instant> {
        self.platform_contact
    }

    /// The table that this instance has in force.
    pub fn table(&self) -> TableRevision {
        self.table
    }

    /// The lowest table version among the serving members of this instance's own zone, as far as heard.
    pub fn zone_floor(&self) -> TableVersion {
        self.floors[FLOOR_STEPS]
    }

    /// The other zones as heard.
    pub fn zones(&self) -> &ZoneTable {
        &self.zones
    }

    pub(crate) fn own(&self) -> &MemberRecord {
        self.records
            .get(&self.instance)
            .expect("the own record is put at the start and never removed")
    }

    /// Changes the own record with a new revision, and lets it go out soon.
    pub(crate) fn change_own(&mut self, now: Instant, change: impl FnOnce(&mut MemberRecord)) {
        let mut record = self.own().clone();
        record.revision += 1;
        change(&mut record);
        self.records.put(record);
        self.record_gossip.push(self.instance.clone());
        self.schedule_flush(now);
    }

    /// Brings the next heartbeat forward, so that news does not wait for it.
    pub(crate) fn schedule_flush(&mut self, now: Instant) {
        let soon = (self.last_heartbeat + self.settings.flush_gap).max(now);
        self.next_heartbeat = self.next_heartbeat.min(soon);
    }

    /// How long a member is silent before it is declared gone.
    pub(crate) fn death_timeout(&self) -> Duration {
        self.settings.suspicion_timeout + self.settings.gone_timeout
    }

    /// The version that this instance holds the zone's floor at.
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
        let over = self.stale.unwrap_or_default().max(self.incarnation());
        if incarnation <= over {
            actions.push(MemberAction::Renew { above: over });
            return;
        }
        self.stale = None;
        self.superseder_silent = None;
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

    fn on_table(&mut self, now: Instant, mark: TableRevision, actions: &mut Vec<MemberAction>) {
        if mark.version < self.table.version {
            actions.push(MemberAction::Notify(MemberUpdate::VersionRegressed {
                ours: self.table.version,
                version: mark.version,
            }));
            return;
        }
        let rose = mark.version > self.table.version;
        self.table = mark;
        if rose {
            self.pull = None;
            self.schedule_flush(now);
        }
    }
}
