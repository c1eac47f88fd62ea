//! What a cell holds, for metrics and the state dump.

use serde::Serialize;

/// How many requests an allocator knows, by phase.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CellCounts {
    /// Decode places that requests which were or are being read wait for, by the books of the pools.
    pub claims: usize,
    /// Requests that generate tokens.
    pub decoding: usize,
    /// Decode places that requests hold, by the books of the engines.
    pub places: usize,
    /// Requests that wait for their turn.
    pub queued: usize,
    /// Requests that were read and wait for a place and the link.
    pub read: usize,
    /// Requests that are being read.
    pub reading: usize,
    /// Requests that hold something, by the books of the rows' limits.
    pub running: usize,
    /// Requests whose KV cache crosses the link.
    pub transferring: usize,
}

impl CellCounts {
    /// All requests that the allocator knows.
    pub fn total(&self) -> usize {
        self.decoding + self.queued + self.read + self.reading + self.transferring
    }
}
