//! The description of a request that an allocator receives.

use {
    crate::request_key::RequestKey,
    kernel::{BlockHash, WorkId},
    std::time::Instant,
};

/// One attempt that asks for a prefill engine, a transfer and a decode place.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// When the caller's request arrived, by the clock of the allocator's driver.
    pub arrived: Instant,
    /// The request.
    pub key: RequestKey,
    /// The maximum length of the answer in tokens.
    pub max_tokens: u32,
    /// Chained hashes of the prompt's blocks, in prompt order.
    pub prefix: Vec<BlockHash>,
    /// The prompt length in tokens, as estimated by the entry instance.
    pub prompt_tokens: u32,
    /// The work that names the row of the table.
    pub work: WorkId,
}
