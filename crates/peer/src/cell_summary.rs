//! How busy a cell is, as its allocator says.

use {
    kernel::{Incarnation, InstanceId, ZoneId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Names one cell.
pub type CellId = Arc<str>;

/// One allocator's word on its cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CellSummary {
    /// The allocator.
    pub by: InstanceId,
    /// The cell.
    pub cell: CellId,
    /// Decode places that are free.
    pub free_places: u32,
    /// The life of the allocator.
    pub incarnation: Incarnation,
    /// KV cache that waits for the link, bytes.
    pub link_bytes: u64,
    /// Requests in the queue.
    pub queue_length: u32,
    /// Counts the summaries of that life.
    pub serial: u64,
    /// The cell's availability zone.
    pub zone: ZoneId,
}

impl CellSummary {
    /// Whether it replaces another summary of the same allocator of the same cell.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.serial) > (other.incarnation, other.serial)
    }
}
