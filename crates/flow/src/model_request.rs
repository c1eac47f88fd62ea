//! One caller's request for a model's answer.

use {
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
    /// Whether the caller reads token by token.
    pub stream: bool,
    /// The row of the table.
    pub work: WorkId,
}
