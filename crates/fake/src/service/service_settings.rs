//! The settings of a plain service's stand-in.

use {
    crate::platform::platform_settings::loopback,
    bon::Builder,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, time::Duration},
};

/// How a plain service's stand-in starts.
#[serde_as]
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Where it answers; port 0 for any.
    #[builder(default = loopback())]
    pub address: SocketAddr,
    /// Where it takes faults and shows counters; port 0 for any.
    #[builder(default = loopback())]
    pub admin: SocketAddr,
    /// How long each request runs.
    #[builder(default)]
    #[serde(rename = "delay_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay: Duration,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
