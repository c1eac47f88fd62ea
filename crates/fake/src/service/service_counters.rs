//! What a plain service was asked.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Counts since the service started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCounters {
    /// Requests closed without an answer after they were read.
    pub closed_after_read: u64,
    /// Requests that run now.
    pub in_progress: u64,
    /// The most requests that ran at one time.
    pub peak_in_progress: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Requests that ran.
    pub runs: u64,
    /// Runs by `X-Run-Key`, else by `X-Request-Id`.
    pub runs_by_key: BTreeMap<Arc<str>, u64>,
    /// Requests whose connection was gone before the whole answer was sent.
    pub unfinished: u64,
}
