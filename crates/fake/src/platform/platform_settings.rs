//! Settings of the platform's stand-in.

use {
    bon::Builder,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Startup settings of the platform's stand-in.
#[serde_as]
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Listen address; port 0 picks a free port.
    #[builder(default = loopback())]
    pub address: SocketAddr,
    /// Listen address of the admin interface; port 0 picks a free port.
    #[builder(default = loopback())]
    pub admin: SocketAddr,
    /// Lag of the instance list.
    #[builder(default)]
    #[serde(rename = "list_lag_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub list_lag: Duration,
    /// Seed of the random number generator.
    #[builder(default)]
    pub seed: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Loopback address with port 0, which picks a free port.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
