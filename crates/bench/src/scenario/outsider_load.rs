//! Load of other allocators.

use {
    crate::scenario::human_time::HumanTime,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// Requests of other allocators that take decode places now and then.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OutsiderLoad {
    /// The mean of their exponential times.
    #[serde_as(as = "HumanTime")]
    pub lasts: Duration,
    /// How many come a second over all decode engines; one that meets a full engine goes away.
    pub per_second: f64,
}
