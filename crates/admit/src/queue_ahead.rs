//! What stands before a request in the queue.

/// Requests that are to be read before another one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueAhead {
    pub(crate) requests: f64,
    /// Their prompts' tokens.
    pub(crate) tokens: f64,
}
