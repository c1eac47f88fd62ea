//! What the allocator keeps for one row of the table.

use {
    crate::{
        length_sketch::LengthSketch, pool_key::PoolKey, queue_position::QueuePosition,
        rate_meter::RateMeter, request_key::RequestKey,
    },
    std::{collections::BTreeMap, time::Duration},
    table::WorkRow,
};

/// How much a new residence time weighs against the mean of the earlier ones.
const RESIDENCE_WEIGHT: f64 = 0.1;

/// The queue of a row, what runs, and the row's place in the turns of its rank.
#[derive(Clone, Debug)]
pub(crate) struct RowState {
    /// How often requests come.
    pub(crate) arrivals: RateMeter,
    /// Whether the table has the row.
    pub(crate) is_listed: bool,
    /// How many may run at once in this cell.
    pub(crate) limit: u32,
    /// The service received over the weight; the row with the least goes next.
    pub(crate) pass: f64,
    /// The engines that serve it.
    pub(crate) pool: PoolKey,
    /// The requests that wait.
    pub(crate) queue: BTreeMap<QueuePosition, RequestKey>,
    /// The prompt tokens of the requests that wait.
    pub(crate) queued_tokens: u64,
    /// How long a request holds something, seconds; none before the first ended.
    pub(crate) residence: Option<f64>,
    /// The row, as the table last had it.
    pub(crate) row: WorkRow,
    /// Requests that hold something.
    pub(crate) running: u32,
    /// The output lengths seen.
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

    /// How long a request holds a decode place at a between-token time, seconds; 0 before any ended.
    pub(crate) fn hold_seconds(&self, step: f64) -> f64 {
        self.sketch.mean_seen() * step
    }

    /// Notes how long a request held something.
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
