//! A stream that holds a decode place.

use std::time::Duration;

/// The properties of a stream that the forecast needs.
#[derive(Clone, Debug)]
pub(crate) struct DecodeStream {
    /// The maximum length of the answer in tokens.
    pub(crate) max_tokens: u32,
    /// The index of the stream's row.
    pub(crate) row: usize,
    /// The engine's token count when the stream started; `None` while it is in transfer.
    pub(crate) started: Option<f64>,
    /// The between-token target of the stream's row.
    pub(crate) target: Option<Duration>,
}
