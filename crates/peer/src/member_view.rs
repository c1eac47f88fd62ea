//! A moment's picture of the membership, for all who don't own the core.

use {
    crate::{
        cell_summary::CellSummary, member_record::MemberRecord, member_state::MemberState,
        member_table::MemberTable, table_revision::TableRevision, upstream_mark::UpstreamMark,
    },
    kernel::{Incarnation, InstanceId, TableVersion, ZoneId},
    serde::Serialize,
    std::time::Instant,
};

/// One other zone, as of the picture.
#[derive(Clone, Debug, Serialize)]
pub struct ZoneInfo {
    /// Whether nothing was heard of it for too long.
    pub cut: bool,
    /// The lowest table version in force there, when it was heard.
    pub floor: TableVersion,
    /// How many milliseconds ago it was heard.
    pub silent_ms: u64,
    /// The zone.
    pub zone: ZoneId,
}

/// What the request path and the state dump see. It never changes; a newer one takes its place.
#[derive(Clone, Debug, Serialize)]
pub struct MemberView {
    /// The summaries of cells that count.
    pub cells: Vec<CellSummary>,
    /// The members that are heard, this instance among them, by name.
    pub heard: Vec<MemberRecord>,
    /// This instance's life.
    pub incarnation: Incarnation,
    /// This instance.
    pub instance: InstanceId,
    /// Whether this instance's life is over: it may not act as an allocator.
    pub is_stale: bool,
    /// The marks that hold.
    pub marks: Vec<UpstreamMark>,
    /// Whom this instance exchanges heartbeats with.
    pub neighbours: Vec<InstanceId>,
    /// When the platform answered this instance, or one that told of it.
    #[serde(skip)]
    pub platform_contact: Option<Instant>,
    /// The table in force here.
    pub table: TableRevision,
    /// The members that are suspected or cut off.
    pub unheard: Vec<MemberRecord>,
    /// The lowest table version in force in the own zone.
    pub zone_floor: TableVersion,
    /// The other zones.
    pub zones: Vec<ZoneInfo>,
}

impl MemberView {
    /// The picture of a table.
    pub fn new(now: Instant, table: &MemberTable) -> Self {
        let own = table.incarnation();
        Self {
            cells: table.cells().cloned().collect(),
            heard: table.heard().cloned().collect(),
            incarnation: own,
            instance: table.instance().clone(),
            is_stale: table.is_stale(),
            marks: table.marks(now),
            neighbours: table.neighbours().iter().cloned().collect(),
            platform_contact: table.platform_contact(),
            table: table.table(),
            unheard: unheard(table),
            zone_floor: table.zone_floor(),
            zones: zones(now, table),
        }
    }

    /// The members of a zone that are heard and take requests, by name: the candidates for its allocators.
    pub fn serving_in(&self, zone: &str) -> impl Iterator<Item = &MemberRecord> {
        self.heard
            .iter()
            .filter(move |record| &*record.zone == zone && record.state == MemberState::Serving)
    }
}

fn unheard(table: &MemberTable) -> Vec<MemberRecord> {
    let mut unheard = Vec::new();
    for record in table.members().live() {
        if record.is_suspect() || table.is_unreachable(&record.instance) {
            unheard.push(record.clone());
        }
    }
    unheard
}

fn zones(now: Instant, table: &MemberTable) -> Vec<ZoneInfo> {
    let mut zones = Vec::new();
    for (zone, view) in table.zones().all() {
        let silent = now.saturating_duration_since(view.heard);
        zones.push(ZoneInfo {
            cut: view.cut,
            floor: view.floor,
            silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
            zone: zone.clone(),
        });
    }
    zones
}
