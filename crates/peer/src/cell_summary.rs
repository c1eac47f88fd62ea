//! The load of a cell, as reported by its allocator.

use {
    kernel::{Incarnation, InstanceId, ZoneId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Identifies one cell.
pub type CellId = Arc<str>;

/// The load of one cell as reported by one allocator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CellSummary {
    /// The instance that runs the allocator.
    pub by: InstanceId,
    /// The cell.
    pub cell: CellId,
    /// Free decode places.
    pub free_places: u32,
    /// The incarnation of the allocator's instance.
    pub incarnation: Incarnation,
    /// KV cache waiting to be transferred over the link, in bytes.
    pub link_bytes: u64,
    /// Queued requests.
    pub queue_length: u32,
    /// Rises with each summary of the same incarnation.
    pub serial: u64,
    /// The cell's availability zone.
    pub zone: ZoneId,
}

impl CellSummary {
    /// Whether this summary is newer than another one from the same allocator for the same cell.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.serial) > (other.incarnation, other.serial)
    }
}
