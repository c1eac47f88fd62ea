//! The working day's curve.

use {
    crate::scenario::human_time::HumanTime,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// One point of the working day's curve; rates between two points are interpolated.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DayPoint {
    /// When, from the start of the run.
    #[serde_as(as = "HumanTime")]
    pub at: Duration,
    /// The arrival rate then, as a share of the peak.
    pub rate: f64,
}
