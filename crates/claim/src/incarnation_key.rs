//! Identifies one incarnation of an entry instance.

use {
    kernel::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// An entry instance and its incarnation, which changes with each restart of the process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IncarnationKey {
    /// The number of the incarnation.
    pub incarnation: Incarnation,
    /// The entry instance.
    pub instance: InstanceId,
}

impl fmt::Display for IncarnationKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{:x}", self.instance, self.incarnation)
    }
}
