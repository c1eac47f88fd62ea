//! The tolerated overuse of a customer's limit, needed because instances learn of each other's usage with a delay.

use {crate::CustomerLimit, std::time::Duration};

/// The reserve for usage that instances do not know of yet or that crashed instances had not reported, in seconds of a
/// customer's rate. In random runs of 24 instances that crash, are partitioned and are suspended, with customers that
/// demand up to five times their rates, one in about 4,000 exceeds the bound, by 0.7 %, the same as without any
/// tolerance beyond the burst; with 1.8 s it is one in about 300, by 2.3 %.
const UNREPORTED_SPAN: f64 = 2.5;

/// The upper bound on the usage of a customer in any window: what rate and burst allow, increased by a ratio and a
/// slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// The tolerated overuse, as a fraction of what rate and burst allow.
    pub overage: f64,
    /// The tolerated overuse beyond that, units.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

impl QuotaRule {
    /// The capacity of the bucket of a customer, units: its burst plus the tolerated overuse, less the reserve for
    /// unreported usage. Small customers gain most, since a few large requests at once can exceed their bursts.
    pub fn capacity(&self, limit: &CustomerLimit) -> f64 {
        let beyond =
            self.window_limit(limit) - self.base_allowance(limit) - limit.rate * UNREPORTED_SPAN;
        limit.burst + beyond.max(0.0)
    }

    /// The maximum usage in one window, units.
    pub fn window_limit(&self, limit: &CustomerLimit) -> f64 {
        self.base_allowance(limit) * (1.0 + self.overage) + self.slack
    }

    /// What rate and burst allow in one window, units.
    fn base_allowance(&self, limit: &CustomerLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }
}

impl Default for QuotaRule {
    /// No tolerated overuse.
    fn default() -> Self {
        Self {
            overage: 0.0,
            slack: 0.0,
            window: Duration::from_secs(1),
        }
    }
}
