//! What is known of a whole availability zone.

use {
    kernel::{TableVersion, ZoneId},
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// How lately an availability zone was heard and which table version all its serving instances have.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneSummary {
    /// How long ago the zone said so; whole milliseconds on the wire.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The lowest table version in force among the zone's serving instances.
    pub floor: TableVersion,
    /// The zone.
    pub zone: ZoneId,
}
