//! Why a request has no answer.

use {kernel::ResultCode, std::time::Duration};

/// The final word on a request without an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowFailure {
    /// What became of it.
    pub code: ResultCode,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl FlowFailure {
    /// A failure that says nothing of when to come back.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }
}
