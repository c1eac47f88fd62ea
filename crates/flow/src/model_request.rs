//! A caller's request to a model.

use {
    crate::run_deadline::RunDeadline,
    kernel::{ModelId, WorkId},
    std::{sync::Arc, time::Instant},
};

/// A request to a model, as parsed by the HTTP handler.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// When the caller's request arrived.
    pub arrived: Instant,
    /// The maximum length of the answer in tokens.
    pub max_tokens: u32,
    /// The model that has to answer.
    pub model: ModelId,
    /// The prompt text.
    pub prompt: Arc<str>,
    /// The latest time of a dispatch to an upstream; `None` for a request without a ticket.
    pub run_by: Option<RunDeadline>,
    /// Whether the caller receives the answer token by token.
    pub stream: bool,
    /// The work that names the row of the table.
    pub work: WorkId,
}

impl ModelRequest {
    /// Whether the ticket has expired, so that the request must not be dispatched.
    pub fn is_past_deadline(&self) -> bool {
        self.run_by.is_some_and(RunDeadline::is_past)
    }
}
