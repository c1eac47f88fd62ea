//! The deadline for dispatching a request.

use std::time::Instant;

/// The latest time at which a request with a ticket may be dispatched to an upstream, by the local monotonic clock. The
/// HTTP handler stores it in the request's extensions.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunDeadline(pub Instant);

impl RunDeadline {
    /// Whether the deadline has passed. Has to be checked right before the dispatch, because the process may have been
    /// frozen since the last check.
    pub fn is_past(self) -> bool {
        Instant::now() >= self.0
    }
}
