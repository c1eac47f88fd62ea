//! The demand of urgent work on a pool.

use {crate::row_state::RowState, std::time::Duration};

/// The arrival rate, queue and targets of the urgent rows.
#[derive(Clone, Debug)]
pub(crate) struct UrgentDemand {
    /// The average number of decode places held by urgent work.
    pub(crate) places: f64,
    /// The number of waiting requests.
    pub(crate) queued: f64,
    /// Arrivals per second.
    pub(crate) rate: f64,
    /// The longest acceptable wait of the most urgent row, in seconds.
    pub(crate) slack: f64,
    /// The strictest between-token target.
    pub(crate) target: Option<Duration>,
}

impl Default for UrgentDemand {
    fn default() -> Self {
        Self {
            places: 0.0,
            queued: 0.0,
            rate: 0.0,
            slack: f64::INFINITY,
            target: None,
        }
    }
}

impl UrgentDemand {
    /// Adds the demand of a row.
    pub(crate) fn add(&mut self, rate: f64, slack: f64, state: &RowState) {
        self.queued += state.queue.len() as f64;
        self.rate += rate;
        self.slack = self.slack.min(slack);
        let target = state.row.between_tokens;
        self.target = match (self.target, target) {
            (Some(left), Some(right)) => Some(left.min(right)),
            (left, right) => left.or(right),
        };
    }
}
