//! One life of one entry instance.

use {
    kernel::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Names an entry instance and its incarnation: a restarted process has another life.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IncarnationKey {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The entry instance.
    pub instance: InstanceId,
}

impl fmt::Display for IncarnationKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{:x}", self.instance, self.incarnation)
    }
}
