//! A request to another instance that has not been answered yet.

use {kernel::InstanceId, std::time::Instant};

/// Attempts to get an answer from one instance. They share one timeout, counted from the first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingRequest {
    /// The instance the requests went to.
    pub peer: InstanceId,
    /// Requests sent to it since its last answer.
    pub attempts: u32,
    /// When the first of these requests was sent.
    pub since: Instant,
}
