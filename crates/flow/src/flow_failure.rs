//! The failure of a request.

use {kernel::ResultCode, std::time::Duration};

/// The final result of a request without an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowFailure {
    /// The result code.
    pub code: ResultCode,
    /// When the caller may retry; `None` if unknown.
    pub retry_after: Option<Duration>,
}

impl FlowFailure {
    /// Creates a failure without a retry delay.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }
}
