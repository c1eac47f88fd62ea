//! Engine output as a pure function of the request, so that a checker can verify every byte.

use {
    engine::wire::BYTES_PER_TOKEN,
    kernel::{BlockHash, seeded_rng::mix},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Prompt tokens in one prefix cache block.
pub const BLOCK_TOKENS: usize = 64;
/// Tokens generated when the call sets no `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// Distribution of completion lengths below the call's `max_tokens`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LengthSpread {
    /// Shortest completion as a fraction of `max_tokens`, 0 to 1; at 1 every completion has the full length.
    pub least_share: f64,
}

impl Default for LengthSpread {
    fn default() -> Self {
        Self { least_share: 1.0 }
    }
}

/// Returns the chained hashes of a prompt's complete blocks in prompt order; a partial last block has none.
pub fn block_hashes(prompt: &str) -> Vec<BlockHash> {
    let mut hashes = Vec::new();
    let mut hash = 0;
    for block in prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN)
    {
        hash = mix(hash, block);
        hashes.push(hash);
    }
    hashes
}

/// Returns the completion length in tokens, at least 1 and at most `max_tokens`, uniformly distributed by prompt hash.
pub fn expected_length(prompt: &str, max_tokens: u32, spread: LengthSpread) -> u32 {
    let share = spread.least_share.clamp(0.0, 1.0);
    let limit = f64::from(max_tokens);
    let minimum = (limit * share).ceil();
    let fraction = f64::from(length_hash(prompt)) / f64::from(u32::MAX);
    let length = minimum + (limit - minimum) * fraction;
    (length.round() as u32).clamp(1, max_tokens.max(1))
}

/// Returns the token at `index` of the completion: the prompt digest, a dash, the index and a space.
pub fn expected_token(prompt: &str, index: u32) -> Arc<str> {
    token_text(&prompt_digest(prompt), index)
}

/// Returns the first `length` tokens of the completion.
pub fn expected_text(prompt: &str, length: u32) -> String {
    let digest = prompt_digest(prompt);
    let mut text = String::new();
    for index in 0..length {
        text.push_str(&token_text(&digest, index));
    }
    text
}

/// Returns the first 8 hexadecimal digits of the prompt's hash.
pub fn prompt_digest(prompt: &str) -> String {
    let hash = mix(0, prompt.as_bytes());
    format!("{:08x}", hash >> u32::BITS)
}

/// Returns the prompt length in tokens, rounded up and at least 1.
pub fn prompt_tokens(prompt: &str) -> u32 {
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Returns the token at `index` of the completion for the prompt with this digest.
pub(crate) fn token_text(digest: &str, index: u32) -> Arc<str> {
    Arc::from(format!("{digest}-{index} "))
}

fn length_hash(prompt: &str) -> u32 {
    (mix(1, prompt.as_bytes()) >> u32::BITS) as u32
}
