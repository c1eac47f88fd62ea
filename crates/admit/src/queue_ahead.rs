//! The work ahead of a request in the queue.

/// Requests that are served before another one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueAhead {
    /// How many there are.
    pub requests: f64,
    /// Their tokens: those of the prompts, and at a scheduler of places the expected output as well.
    pub tokens: f64,
}
