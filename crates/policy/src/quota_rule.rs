//! What the operators allow beyond a customer's limit, since instances know late of each other.

use {crate::CustomerLimit, std::time::Duration};

/// What instances use before they know of each other, and what the dead had not told, seconds of a customer's rate. Of random
/// runs of 24 instances that die, are cut off and suspended, with customers that ask up to five times their rates, one in
/// some 4,000 gets over the bound, by 0.7 %, as without anything beyond the burst; with 1.8 s one in some 300, by 2.3 %.
const BLIND_SPAN: f64 = 2.5;

/// The bound on the use of a customer in any window: what rate and burst give, more by a ratio, and a slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// How much more than rate and burst give may be used, as a part of it.
    pub overage: f64,
    /// What may be used beyond that, units.
    pub slack: f64,
    /// The length of the window, which slides.
    pub window: Duration,
}

impl QuotaRule {
    /// The most that the bucket of a customer holds, units: its burst, and what may be used beyond the limit but for what
    /// instances use blindly. Small customers gain most: a few large requests at a moment are more than their bursts.
    pub fn capacity(&self, limit: &CustomerLimit) -> f64 {
        let beyond =
            self.window_limit(limit) - self.base_allowance(limit) - limit.rate * BLIND_SPAN;
        limit.burst + beyond.max(0.0)
    }

    /// The most that may be used in one window, units.
    pub fn window_limit(&self, limit: &CustomerLimit) -> f64 {
        self.base_allowance(limit) * (1.0 + self.overage) + self.slack
    }

    /// What rate and burst give in one window, units.
    fn base_allowance(&self, limit: &CustomerLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }
}

impl Default for QuotaRule {
    /// Nothing beyond the limit.
    fn default() -> Self {
        Self {
            overage: 0.0,
            slack: 0.0,
            window: Duration::from_secs(1),
        }
    }
}
