//! What instances tell each other all the time.

use {
    crate::{
        cell_summary::CellSummary, member_record::MemberRecord, table_revision::TableRevision,
        upstream_mark::UpstreamMark, version_floors::VersionFloors, zone_summary::ZoneSummary,
    },
    kernel::ZoneId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One heartbeat: who sends it, what it has in force, and what changed lately. Every list is bounded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Cells whose summaries are new.
    pub cells: Vec<CellSummary>,
    /// The lowest table versions around the sender.
    pub floors: VersionFloors,
    /// Marks that are new.
    pub marks: Vec<UpstreamMark>,
    /// The digest of all marks that the sender knows.
    pub marks_digest: u64,
    /// The sender itself.
    pub member: MemberRecord,
    /// The digest of all members that the sender knows.
    pub members_digest: u64,
    /// How long ago the platform answered the sender, or one that told the sender of it; none when it never did.
    pub platform_age: Option<Duration>,
    /// Members whose records are new.
    pub records: Vec<MemberRecord>,
    /// Counts the heartbeats of the sender's life; one that does not rise is a replay.
    pub sequence: u64,
    /// The table that the sender has in force.
    pub table: TableRevision,
    /// The sender's own zone, then some others.
    pub zones: Vec<ZoneSummary>,
}

impl Heartbeat {
    /// Whether every list is within the bounds.
    pub fn is_bounded(&self) -> bool {
        self.cells.len() <= MAX_LIST_LENGTH
            && self.marks.len() <= MAX_LIST_LENGTH
            && self.records.len() <= MAX_LIST_LENGTH
            && self.zones.len() <= MAX_LIST_LENGTH
    }
}

/// The most entries that a list of a heartbeat may have.
pub const MAX_LIST_LENGTH: usize = 64;

/// The digests that a peer compares with its own.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncRequest {
    /// The digest of all marks.
    pub marks_digest: u64,
    /// The digest of each zone's members.
    pub zones: Vec<(ZoneId, u64)>,
}

/// Whole lists, for what differs. Also tells a peer that its life is over.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SyncReply {
    /// All marks, when the digests differ.
    pub marks: Vec<UpstreamMark>,
    /// The members of the zones whose digests differ.
    pub records: Vec<MemberRecord>,
}

/// A message of the membership protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberMessage {
    /// A heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A heartbeat to one who may know nothing of the sender; it is answered with a heartbeat.
    Probe(Box<Heartbeat>),
    /// Whole lists.
    Reply(SyncReply),
    /// Asks for whole lists.
    Request(SyncRequest),
}
