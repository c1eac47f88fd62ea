//! The messages of the membership protocol: heartbeats and anti-entropy.

use {
    crate::{
        cell_summary::CellSummary, member_record::MemberRecord, table_revision::TableRevision,
        upstream_mark::UpstreamMark, version_floors::VersionFloors, zone_summary::ZoneSummary,
    },
    kernel::ZoneId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One heartbeat: the sender's record, its table revision and recent changes. Every list is bounded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// New cell summaries.
    pub cells: Vec<CellSummary>,
    /// The lowest table versions around the sender, by distance.
    pub floors: VersionFloors,
    /// New upstream marks.
    pub marks: Vec<UpstreamMark>,
    /// The digest of all marks that the sender knows.
    pub marks_digest: u64,
    /// The sender's own record.
    pub member: MemberRecord,
    /// The digest of all members that the sender knows.
    pub members_digest: u64,
    /// How long ago the platform answered the sender or a peer whose heartbeat reported it; `None` when it never did.
    pub platform_age: Option<Duration>,
    /// New member records.
    pub records: Vec<MemberRecord>,
    /// Rises with each heartbeat of the sender's incarnation; a heartbeat that does not rise is a replay.
    pub sequence: u64,
    /// The table in force at the sender.
    pub table: TableRevision,
    /// The sender's own availability zone, then some others in rotation.
    pub zones: Vec<ZoneSummary>,
}

impl Heartbeat {
    /// Whether every list has at most [`MAX_LIST_LENGTH`] entries.
    pub fn is_bounded(&self) -> bool {
        self.cells.len() <= MAX_LIST_LENGTH
            && self.marks.len() <= MAX_LIST_LENGTH
            && self.records.len() <= MAX_LIST_LENGTH
            && self.zones.len() <= MAX_LIST_LENGTH
    }
}

/// The maximum number of entries in a list of a heartbeat.
pub const MAX_LIST_LENGTH: usize = 64;

/// An anti-entropy request: the digests that the receiver compares with its own.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SyncRequest {
    /// The digest of all marks.
    pub marks_digest: u64,
    /// The digest of each zone's members.
    pub zones: Vec<(ZoneId, u64)>,
}

/// An anti-entropy reply: the full lists whose digests differ. Also tells a peer that its incarnation is dead or
/// suspected.
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
    /// A heartbeat to an instance that may not know the sender; it is answered with a heartbeat.
    Probe(Box<Heartbeat>),
    /// Answers an anti-entropy request.
    Reply(SyncReply),
    /// Requests the lists that differ.
    Request(SyncRequest),
}
