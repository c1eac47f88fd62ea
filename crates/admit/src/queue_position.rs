//! Where a request stands in the queue of its row.

use std::time::Instant;

/// The order within a row: requests that can still end in time go first, of them those that were read before, then the
/// earlier deadline, then who came first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueuePosition {
    /// Whether it can't be expected to end within its patience any more; it is served when nothing else waits.
    pub(crate) is_late: bool,
    /// Whether no try was made yet.
    pub(crate) is_fresh: bool,
    /// The first-token target or the end of the patience, as a time.
    pub(crate) deadline: Instant,
    /// Counts the requests of the allocator.
    pub(crate) serial: u64,
}
