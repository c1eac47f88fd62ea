//! What another availability zone can take over.

use {
    kernel::ZoneId,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMicroSeconds, serde_as},
    std::time::Duration,
};

/// The room of one cell, as its scheduler tells the schedulers of other availability zones.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneSpare {
    /// How old the figures are.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub age: Duration,
    /// Memory that is free at the worst moment expected, tokens; 0 while requests wait there.
    pub tokens: u64,
    /// The availability zone.
    pub zone: ZoneId,
}
