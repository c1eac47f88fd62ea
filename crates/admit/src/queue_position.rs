//! The position of a request in its row's queue.

use std::time::Instant;

/// The order within a row. The derived ordering compares the fields in declaration order: requests that can still
/// finish in time first, then retries, then the earlier deadline, then arrival order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueuePosition {
    /// Whether the request is unlikely to finish within its patience. It is served only when nothing else waits.
    pub(crate) is_late: bool,
    /// Whether no attempt was made yet.
    pub(crate) is_fresh: bool,
    /// The first-token deadline; for patient rows the latest start.
    pub(crate) deadline: Instant,
    /// A sequence number assigned by the allocator.
    pub(crate) serial: u64,
}
