//! The addresses that an instance listens at.

use {
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The section `listen`. Port 0 takes a free port; the line printed at the start has the actual one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// The TCP address of the admin server: metrics, state and health.
    pub admin: SocketAddr,
    /// The address at which other instances reach `peers`, if it is another one.
    pub advertise: Option<SocketAddr>,
    /// The TCP address for callers' requests.
    pub callers: SocketAddr,
    /// The UDP address for messages of other instances.
    pub peers: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            admin: ANY_LOOPBACK_PORT,
            advertise: None,
            callers: ANY_LOOPBACK_PORT,
            peers: ANY_LOOPBACK_PORT,
        }
    }
}
