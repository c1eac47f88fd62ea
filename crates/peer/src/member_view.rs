//! An immutable snapshot of the membership, for readers outside the driver task.

use {
    crate::{
        cell_summary::CellSummary, member_record::MemberRecord, member_state::MemberState,
        member_table::MemberTable, table_revision::TableRevision, upstream_mark::UpstreamMark,
    },
    kernel::{Incarnation, InstanceId, TableVersion, ZoneId},
    serde::Serialize,
    std::time::Instant,
};

/// One other zone, as of the snapshot.
#[derive(Clone, Debug, Serialize)]
pub struct ZoneInfo {
    /// Whether it is unreachable.
    pub cut: bool,
    /// The lowest table version in force there, as last reported.
    pub floor: TableVersion,
    /// How old its last report is, in milliseconds.
    pub silent_ms: u64,
    /// The zone.
    pub zone: ZoneId,
}

/// The snapshot used by the request path and the state dump. A newer one replaces it as a whole.
#[derive(Clone, Debug, Serialize)]
pub struct MemberView {
    /// The cell summaries that have not expired.
    pub cells: Vec<CellSummary>,
    /// The members that are alive and reachable, including this instance, ordered by name.
    pub heard: Vec<MemberRecord>,
    /// This instance's incarnation.
    pub incarnation: Incarnation,
    /// This instance's name.
    pub instance: InstanceId,
    /// Whether this incarnation is dead or superseded: it may not act as an allocator.
    pub is_stale: bool,
    /// The marks that have not expired.
    pub marks: Vec<UpstreamMark>,
    /// The instances that this one exchanges heartbeats with.
    pub neighbours: Vec<InstanceId>,
    /// When the platform last answered this instance or a peer that reported it; `None` when it never did.
    #[serde(skip)]
    pub platform_contact: Option<Instant>,
    /// The table in force at this instance.
    pub table: TableRevision,
    /// The members that are suspected or unreachable.
    pub unheard: Vec<MemberRecord>,
    /// The lowest table version among the serving members of the own zone.
    pub zone_floor: TableVersion,
    /// The other zones.
    pub zones: Vec<ZoneInfo>,
}

impl MemberView {
    /// Takes a snapshot of a table.
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

    /// The reachable members of a zone that take requests, by name: the candidates for its allocators.
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
            cut: view.is_unreachable,
            floor: view.floor,
            silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
            zone: zone.clone(),
        });
    }
    zones
}
