//! Who sent a message.

use {
    kernel::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
};

/// One life of one instance, as the sender states it; the name was checked against its certificate.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PeerIdentity {
    /// The sender's life.
    pub incarnation: Incarnation,
    /// The sender's name.
    pub instance: InstanceId,
}
