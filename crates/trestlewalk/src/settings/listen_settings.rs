//! The addresses that an instance listens at.

use {
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The section `listen`. Port 0 takes a free port; the line printed at the start names the real one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// Where operators ask for metrics, state and health, TCP.
    pub admin: SocketAddr,
    /// Where other instances reach `peers`, when that is another address.
    pub advertise: Option<SocketAddr>,
    /// Where callers send requests, TCP.
    pub callers: SocketAddr,
    /// Where other instances send messages, UDP.
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
