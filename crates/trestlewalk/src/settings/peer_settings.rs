//! One peer to contact first.

use {
    crate::settings::platform_settings::UNSET_ADDRESS,
    kernel::{InstanceId, ZoneId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One item of `peers`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// The UDP address at which the peer receives messages; required.
    pub address: SocketAddr,
    /// The peer's name; required.
    pub instance: InstanceId,
    /// The peer's availability zone; required.
    pub zone: ZoneId,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            address: UNSET_ADDRESS,
            instance: InstanceId::default(),
            zone: ZoneId::default(),
        }
    }
}
