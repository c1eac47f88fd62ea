//! The work ahead of a request in the queue.

/// Requests that are prefilled before another one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueAhead {
    pub(crate) requests: f64,
    /// The prompt tokens of these requests.
    pub(crate) tokens: f64,
}
