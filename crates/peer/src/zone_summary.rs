//! A summary of a whole availability zone.

use {
    kernel::{TableVersion, ZoneId},
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// When an availability zone last reported, and the table version that all its serving instances have reached.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneSummary {
    /// How long ago the zone reported this; whole milliseconds on the wire.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The lowest table version in force among the zone's serving instances.
    pub floor: TableVersion,
    /// The zone.
    pub zone: ZoneId,
}
