//! Tuning parameters of an allocator.

use std::time::Duration;

/// Tuning parameters of an allocator. All durations are real time.
#[derive(Clone, Debug)]
pub(crate) struct CellTuning {
    /// How long a decode engine that refused counts as full.
    pub(crate) full_backoff: Duration,
    /// The share of the eviction time within which a decode place must be expected.
    pub(crate) eviction_share: f64,
    /// How many standard deviations of urgent demand patient work leaves free.
    pub(crate) headroom: f64,
    /// How long before an engine or the link becomes free the next grant is sent.
    pub(crate) lookahead: Duration,
    /// The share of service reserved for patient work that waited half its patience, regardless of rank.
    pub(crate) patient_share: f64,
    /// The longest queue that is accepted to reuse a cached prefix.
    pub(crate) prefix_queue: Duration,
}
