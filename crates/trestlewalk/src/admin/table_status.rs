//! The status of the table in force.

use {
    kernel::{InstanceId, TableDigest, TableVersion, ZoneId},
    serde::{Deserialize, Serialize},
    serde_with::{DisplayFromStr, serde_as},
};

/// The body of `/table`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableStatus {
    /// Since when neither the instance nor its peers get answers from the platform, in milliseconds since the Unix
    /// epoch; `None` while one of them does.
    #[serde(default)]
    pub cut_off_since: Option<u64>,
    /// The hash of the table's content; a string, since JSON readers round numbers of 64 bits.
    #[serde_as(as = "DisplayFromStr")]
    pub digest: TableDigest,
    /// The instance that answers.
    pub instance: InstanceId,
    /// When the version came into force at this instance, in milliseconds since the Unix epoch; 0 without a table.
    pub since: u64,
    /// The version in force; 0 without a table.
    pub version: TableVersion,
    /// The availability zone of the instance.
    pub zone: ZoneId,
}

/// A source of the status that `/table` reports.
pub trait StatusSource: Send + Sync + 'static {
    /// The status at the moment of the call.
    fn table_status(&self) -> TableStatus;
}
