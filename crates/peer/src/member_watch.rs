//! This instance's own observations of a member; they are not gossiped.

use {crate::version_floors::VersionFloors, kernel::Incarnation, std::time::Instant};

/// The failure detector's state of one member.
#[derive(Clone, Debug)]
pub struct MemberWatch {
    /// Whether it is unreachable from here without having been declared dead.
    pub is_unreachable: bool,
    /// Consecutive heartbeats whose digests differ from this instance's.
    pub digest_mismatches: u8,
    /// The version floors of its last heartbeat.
    pub floors: Option<VersionFloors>,
    /// When it was declared dead.
    pub dead_since: Option<Instant>,
    /// When its last heartbeat arrived, or when it became a neighbour.
    pub heard: Instant,
    /// The incarnation that `sequence` belongs to.
    pub incarnation: Incarnation,
    /// The sequence number of the last heartbeat; `None` before the first.
    pub sequence: Option<u64>,
    /// When the suspicion started or was last repeated; `None` when it is not suspected.
    pub suspected: Option<Instant>,
    /// Whether its last heartbeat reported this instance's table version with different content.
    pub table_differs: bool,
}

impl MemberWatch {
    /// Creates the state of a member that was just learned of.
    pub fn new(now: Instant, incarnation: Incarnation) -> Self {
        Self {
            is_unreachable: false,
            digest_mismatches: 0,
            floors: None,
            dead_since: None,
            heard: now,
            incarnation,
            sequence: None,
            suspected: None,
            table_differs: false,
        }
    }

    /// Accepts a heartbeat's sequence number if it rises within the incarnation; returns `false` for a replay.
    pub fn advance_sequence(&mut self, incarnation: Incarnation, sequence: u64) -> bool {
        let last = self.sequence.filter(|_| self.incarnation == incarnation);
        if last.is_some_and(|last| sequence <= last) {
            return false;
        }
        self.incarnation = incarnation;
        self.sequence = Some(sequence);
        true
    }
}
