//! The allocator's state for one row of the table.

use {
    crate::{
        length_sketch::LengthSketch, pool_key::PoolKey, queue_position::QueuePosition,
        rate_meter::RateMeter, request_key::RequestKey,
    },
    std::{collections::BTreeMap, time::Duration},
    table::WorkRow,
};

/// The weight of a new sample in the moving average of residence times.
const RESIDENCE_WEIGHT: f64 = 0.1;

/// The queue of a row, its running requests, and its position in the fair queueing of its rank.
#[derive(Clone, Debug)]
pub(crate) struct RowState {
    /// The arrival rate of requests.
    pub(crate) arrivals: RateMeter,
    /// Whether the current table contains the row.
    pub(crate) is_listed: bool,
    /// The maximum number of running requests in this cell.
    pub(crate) limit: u32,
    /// The received service divided by the weight. The row with the lowest value is scheduled next.
    pub(crate) pass: f64,
    /// The engines that serve the row.
    pub(crate) pool: PoolKey,
    /// The waiting requests.
    pub(crate) queue: BTreeMap<QueuePosition, RequestKey>,
    /// The prompt tokens of the waiting requests.
    pub(crate) queued_tokens: u64,
    /// The average time for which a request holds resources, in seconds; `None` before the first one ended.
    pub(crate) residence: Option<f64>,
    /// The row in its most recent version.
    pub(crate) row: WorkRow,
    /// The number of requests that hold a resource.
    pub(crate) running: u32,
    /// The distribution of output lengths.
    pub(crate) sketch: LengthSketch,
}

impl RowState {
    pub(crate) fn new(row: WorkRow) -> Self {
        Self {
            arrivals: RateMeter::default(),
            is_listed: true,
            limit: 0,
            pass: 0.0,
            pool: PoolKey::of_row(&row),
            queue: BTreeMap::new(),
            queued_tokens: 0,
            residence: None,
            row,
            running: 0,
            sketch: LengthSketch::default(),
        }
    }

    /// The average time, in seconds, for which a request holds a decode place if tokens are `step` seconds apart; 0 before
    /// the first one ended.
    pub(crate) fn hold_seconds(&self, step: f64) -> f64 {
        self.sketch.mean_seen() * step
    }

    /// Records how long a request held resources.
    pub(crate) fn record_residence(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let mean = self.residence.unwrap_or(seconds);
        self.residence = Some(mean + (seconds - mean) * RESIDENCE_WEIGHT);
    }

    /// Whether one more request may run.
    pub(crate) fn is_under_limit(&self) -> bool {
        self.running < self.limit
    }
}
