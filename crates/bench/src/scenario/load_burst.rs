//! A burst of arrivals.

use {
    crate::scenario::human_time::HumanTime,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// For a while the arrival rate is multiplied.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBurst {
    /// When it starts.
    #[serde_as(as = "HumanTime")]
    pub at: Duration,
    /// How long it lasts.
    #[serde_as(as = "HumanTime")]
    pub lasts: Duration,
    /// The factor on the arrival rate.
    pub times: f64,
}
