//! What becomes of a request that can't be placed at once.

use std::time::Duration;

/// Whether a request waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitDecision {
    /// It waits.
    Wait,
    /// It is refused at once.
    Refuse {
        /// When its caller is to come back.
        retry_after: Duration,
    },
}
