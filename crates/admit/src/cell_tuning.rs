//! The settings of an allocator.

use std::time::Duration;

/// How an allocator weighs; every time is in real time.
#[derive(Clone, Debug)]
pub(crate) struct CellTuning {
    /// How long a decode engine that refused is taken as full.
    pub(crate) full_backoff: Duration,
    /// The share of the eviction time within which a place has to be expected.
    pub(crate) eviction_share: f64,
    /// How many deviations of urgent demand patient work leaves room for.
    pub(crate) headroom: f64,
    /// How early before an engine or the link is free the next grant goes out.
    pub(crate) lookahead: Duration,
    /// The share of the service that goes to patient work which waited half its patience, whatever its rank.
    pub(crate) patient_share: f64,
    /// How long a queue for the sake of a cached prefix may be.
    pub(crate) prefix_queue: Duration,
}
