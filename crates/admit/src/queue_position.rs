//! The position of a request in the queue of its row or customer.

use std::time::Instant;

/// The order within a row, or at a scheduler of places within a customer. The derived ordering compares the fields in declaration order: requests that can still
/// finish in time first, then retries, then the earlier deadline, then arrival order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    /// Whether the request is unlikely to be in time. It is served only when nothing else waits.
    pub is_late: bool,
    /// Whether no attempt was made yet.
    pub is_fresh: bool,
    /// The first-token deadline; for patient rows the latest start.
    pub deadline: Instant,
    /// A sequence number assigned by the owner of the queue.
    pub serial: u64,
}
