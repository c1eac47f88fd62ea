//! One stream that holds a decode place.

use std::time::Duration;

/// What the forecast needs to know of a stream.
#[derive(Clone, Debug)]
pub(crate) struct DecodeStream {
    /// The most tokens that the caller takes.
    pub(crate) max_tokens: u32,
    /// The index of its row.
    pub(crate) row: usize,
    /// The engine's token count when the stream had none; none while it is in transfer.
    pub(crate) started: Option<f64>,
    /// The between-token target of its row.
    pub(crate) target: Option<Duration>,
}
