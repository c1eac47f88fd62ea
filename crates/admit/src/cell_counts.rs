//! Occupancy of a cell, for metrics and the state dump.

use serde::Serialize;

/// The number of requests in each phase.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CellCounts {
    /// Requests that are prefilling or prefilled and still need a decode place, counted from the pools.
    pub claims: usize,
    /// Requests that generate tokens.
    pub decoding: usize,
    /// Decode places held by requests, counted from the engines.
    pub places: usize,
    /// Requests in the queue.
    pub queued: usize,
    /// Prefilled requests that wait for a decode place and the link.
    pub read: usize,
    /// Requests that are being prefilled.
    pub reading: usize,
    /// Requests that hold a resource, counted from the rows' limits.
    pub running: usize,
    /// Requests whose KV cache is being transferred.
    pub transferring: usize,
}

impl CellCounts {
    /// The number of requests held by the allocator.
    pub fn total(&self) -> usize {
        self.decoding + self.queued + self.read + self.reading + self.transferring
    }
}
