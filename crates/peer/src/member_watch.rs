//! What this instance itself heard from a member; it is not passed on.

use {crate::floor_ladder::FloorLadder, kernel::Incarnation, std::time::Instant};

/// One member as heard here.
#[derive(Clone, Debug)]
pub struct MemberWatch {
    /// Whether it is unreachable from here without having been declared gone.
    pub cut: bool,
    /// Heartbeats in a row whose digests differ from this instance's.
    pub differs: u8,
    /// The table versions around it, from its last heartbeat.
    pub floors: Option<FloorLadder>,
    /// When it was declared gone.
    pub gone_at: Option<Instant>,
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
            gone_at: None,
            heard: now,
            incarnation,
            sequence: None,
            suspected: None,
            table_differs: false,
        }
    }

    /// Whether a heartbeat is the first of its number in this life; notes it.
    pub fn take_sequence(&mut self, incarnation: Incarnation, sequence: u64) -> bool {
        let last = self.sequence.filter(|_| self.incarnation == incarnation);
        if last.is_some_and(|last| sequence <= last) {
            return false;
        }
        self.incarnation = incarnation;
        self.sequence = Some(sequence);
        true
    }
}
