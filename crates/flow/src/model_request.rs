//! One caller's request for a model's answer.

use {
    crate::run_deadline::RunDeadline,
    kernel::{ModelId, WorkId},
    std::{sync::Arc, time::Instant},
};

/// What the door hands to the flow.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// When the caller's request arrived.
    pub arrived: Instant,
    /// The most tokens that the caller takes.
    pub max_tokens: u32,
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Until when it may be dispatched, when it has a ticket.
    pub run_by: Option<RunDeadline>,
    /// Whether the caller reads token by token.
    pub stream: bool,
    /// The row of the table.
    pub work: WorkId,
}

impl ModelRequest {
    /// Whether its ticket has ended, so that it may not be dispatched any more.
    pub fn is_past_deadline(&self) -> bool {
        self.run_by.is_some_and(RunDeadline::is_past)
    }
}
