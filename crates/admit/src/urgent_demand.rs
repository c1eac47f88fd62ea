//! What urgent work asks of a pool.

use {crate::row_state::RowState, std::time::Duration};

/// How often urgent work comes and how soon it has to be served.
#[derive(Clone, Debug)]
pub(crate) struct UrgentDemand {
    /// Decode places that it holds on the whole.
    pub(crate) places: f64,
    /// Requests that wait already.
    pub(crate) queued: f64,
    /// Arrivals a second.
    pub(crate) rate: f64,
    /// The seconds that the most pressing row may wait.
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
