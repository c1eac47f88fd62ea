//! What this instance itself heard from a member; it is not passed on.

use {crate::version_floors::VersionFloors, kernel::Incarnation, std::time::Instant};

/// One member as heard here.
#[derive(Clone, Debug)]
pub struct MemberWatch {
    /// Whether it is unreachable from here without having been declared gone.
    pub cut: bool,
    /// Heartbeats in a row whose digests differ from this instance's.
    pub differs: u8,
    /// The table versions around it, from its last heartbeat.
    pub floors: Option<VersionFloors>,
    /// When it was declared gone.
    pub dead_since: Option<Instant>,
    /// When it was last heard, or became a neighbour.
    pub heard: Instant,
    /// The life whose heartbeats `sequence` counts.
    pub incarnation: Incarnation,
    /// The last heartbeat's number; none before the first.
    pub sequence: Option<u64>,
    /// Since when it is a suspect.
    pub suspected: Option<Instant>,
    /// Whether its last heartbeat told of this instance's table version with another content.
    pub table_differs: bool,
}

impl MemberWatch {
    /// A member that was just heard of.
    pub fn new(now: Instant, incarnation: Incarnation) -> Self {
        Self {
            cut: false,
            differs: 0,
            floors: None,
            dead_since: None,
            heard: now,
            incarnation,
            sequence: None,
            suspected: None,
            table_differs: false,
        }
    }

    /// Whether a heartbeat is the first of its number in this life; notes it.
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
