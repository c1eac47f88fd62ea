//! The identity of a message's sender.

use {
    kernel::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
};

/// The sender's name and incarnation. The name was checked against its certificate; the incarnation is the sender's claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PeerIdentity {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's name.
    pub instance: InstanceId,
}
