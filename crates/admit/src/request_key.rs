//! The name of one request among all entry instances.

use {
    kernel::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
};

/// Names a request: its entry instance, that instance's life, and a count within it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestKey {
    /// The life of the entry instance.
    pub incarnation: Incarnation,
    /// The entry instance that holds the caller's connection.
    pub instance: InstanceId,
    /// Counts the requests of that life.
    pub serial: u64,
}
