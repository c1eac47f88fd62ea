//! How late everybody hears of anything.

use {
    crate::scenario::human_time::HumanTime,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// Delays and lags.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MessageDelays {
    /// One way between an entry instance and the allocator.
    #[serde_as(as = "HumanTime")]
    pub allocator: Duration,
    /// The share of cache events that never arrive, 0 to 1.
    pub cache_gaps: f64,
    /// How late cache events reach the allocator.
    #[serde_as(as = "HumanTime")]
    pub cache_lag: Duration,
    /// One way between an entry instance and an engine.
    #[serde_as(as = "HumanTime")]
    pub engine: Duration,
    /// How long until the death of an entry instance is detected.
    #[serde_as(as = "HumanTime")]
    pub holder_lag: Duration,
    /// How late the platform's list of engines is.
    #[serde_as(as = "HumanTime")]
    pub list_lag: Duration,
    /// How often an engine takes a load report.
    #[serde_as(as = "HumanTime")]
    pub report_every: Duration,
    /// How late a load report reaches the allocator.
    #[serde_as(as = "HumanTime")]
    pub report_lag: Duration,
}
