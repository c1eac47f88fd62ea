//! The memory that a request states to need.

use serde::{Deserialize, Serialize};

/// Larger sizes are not told apart, tokens.
const MAX_TOKENS: u64 = 1 << 32;

/// The size of a request as its caller states it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamNeed {
    /// The caller's estimate of the output, tokens: right at the median and often far off. `None` when it gives none.
    pub hint: Option<u64>,
    /// Maximum output, tokens.
    pub max_output: u64,
    /// Length of the prompt, tokens.
    pub prompt: u64,
}

impl StreamNeed {
    /// The size with each number at most 2^32 tokens, so that sums stay in range.
    pub(crate) fn bounded(self) -> Self {
        Self {
            hint: self.hint.map(|hint| hint.min(MAX_TOKENS)),
            max_output: self.max_output.min(MAX_TOKENS),
            prompt: self.prompt.min(MAX_TOKENS),
        }
    }
}
