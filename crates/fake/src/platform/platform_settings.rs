//! The settings of the platform's stand-in.

use {
    bon::Builder,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// How the platform's stand-in starts.
#[serde_as]
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it answers; port 0 for any.
    #[builder(default = loopback())]
    pub address: SocketAddr,
    /// Where it takes faults and shows counters; port 0 for any.
    #[builder(default = loopback())]
    pub admin: SocketAddr,
    /// The list of instances shows what was true this long ago.
    #[builder(default)]
    #[serde(rename = "list_lag_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub list_lag: Duration,
    /// Seeds what is left to chance.
    #[builder(default)]
    pub seed: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Any port on the loopback.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
