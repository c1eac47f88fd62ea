//! What a refusal states about the time for which its upstream wants no calls.

use std::time::Duration;

/// The longest backoff that is honoured. A longer one is taken for this one: the upstream repeats it if it still holds.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// The backoff stated in one answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackoffStatement {
    /// A statement that can't be read.
    Invalid,
    /// No statement.
    #[default]
    None,
    /// This instance is to make no calls for this long.
    Requested(Duration),
}

impl BackoffStatement {
    /// Parses a number of seconds, which may have a fraction. Dates and signed numbers are invalid.
    pub fn parse(text: &str) -> Self {
        let text = text.trim();
        let is_decimal = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        match text.parse::<f64>() {
            Ok(seconds) if is_decimal => {
                let seconds = seconds.min(MAX_BACKOFF.as_secs_f64());
                Self::Requested(Duration::from_secs_f64(seconds))
            }
            _ => Self::Invalid,
        }
    }
}
