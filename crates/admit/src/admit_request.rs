//! What an allocator is told of a request.

use {
    crate::request_key::RequestKey,
    kernel::{BlockHash, WorkId},
    std::time::Instant,
};

/// One attempt that asks for a prefill engine, a link turn and a decode place.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// When the caller's request arrived, by the clock of whoever drives the allocator.
    pub arrived: Instant,
    /// The request.
    pub key: RequestKey,
    /// The most tokens that the caller takes.
    pub max_tokens: u32,
    /// The chained hashes of the prompt's blocks, first block first.
    pub prefix: Vec<BlockHash>,
    /// The prompt's length in tokens, as well as the entry instance can tell.
    pub prompt_tokens: u32,
    /// The row of the table.
    pub work: WorkId,
}
