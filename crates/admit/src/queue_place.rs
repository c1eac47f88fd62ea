//! Where a request stands in the queue of its row.

use std::time::Instant;

/// The order within a row: requests that were read before go first, then the earlier deadline, then who came first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueuePlace {
    /// Whether no try was made yet.
    pub(crate) fresh: bool,
    /// The first-token target or the end of the patience, as a time.
    pub(crate) deadline: Instant,
    /// Counts the requests of the allocator.
    pub(crate) serial: u64,
}
