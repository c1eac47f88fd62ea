//! Chained hashes of a prompt's blocks, computed as engines do for their prefix caches.

use {engine::wire::BYTES_PER_TOKEN, kernel::BlockHash};

/// The number of tokens in a block.
pub const BLOCK_TOKENS: usize = 64;
/// The maximum number of blocks of a prompt that are sent to an allocator.
pub const BLOCK_LIMIT: usize = 64;

/// The hashes of a prompt's complete blocks, in prompt order.
pub fn prefix_hashes(prompt: &str) -> Vec<BlockHash> {
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    let mut hash = 0;
    let mut hashes = Vec::new();
    for block in blocks.take(BLOCK_LIMIT) {
        hash = kernel::seeded_rng::mix(hash, block);
        hashes.push(hash);
    }
    hashes
}

/// The prompt length in tokens, rounded up.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
