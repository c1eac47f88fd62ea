//! The holders that a table can be pulled from.

use {
    kernel::InstanceId,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A holder of the table.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum TableSource {
    /// Another entry instance.
    Peer(InstanceId),
    /// The platform's table service.
    Platform,
}

impl fmt::Display for TableSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Peer(instance) => formatter.pad(instance),
            Self::Platform => formatter.pad("the platform"),
        }
    }
}
