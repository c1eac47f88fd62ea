//! The identifier of a request among all entry instances.

use {
    kernel::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
};

/// Identifies a request by its entry instance, the instance's incarnation and a serial number.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestKey {
    /// The incarnation of the entry instance.
    pub incarnation: Incarnation,
    /// The entry instance that holds the caller's connection.
    pub instance: InstanceId,
    /// The serial number within the incarnation.
    pub serial: u64,
}
