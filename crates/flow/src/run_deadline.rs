//! The moment after which a request may not be dispatched any more.

use std::time::Instant;

/// Until when a request with a ticket may be dispatched to an upstream, by this process's monotonic clock. The door puts
/// it among the request's extensions.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunDeadline(pub Instant);

impl RunDeadline {
    /// Whether the moment is past. Ask right before the dispatch: the process may have been frozen since the last time.
    pub fn is_past(self) -> bool {
        Instant::now() >= self.0
    }
}
