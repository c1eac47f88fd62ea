//! Counters of a plain service.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Counts since the service started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceCounters {
    /// Requests that were read and then closed without a response.
    pub closed_after_read: u64,
    /// Requests in progress.
    pub in_progress: u64,
    /// Highest number of requests in progress at one time.
    pub peak_in_progress: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Requests that started to run.
    pub runs: u64,
    /// Runs by `X-Run-Key`, else by `X-Request-Id`.
    pub runs_by_key: BTreeMap<Arc<str>, u64>,
    /// Requests whose response was not sent completely.
    pub unfinished: u64,
}
