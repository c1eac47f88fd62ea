//! Settings of a plain service's stand-in.

use {
    crate::platform::platform_settings::loopback,
    bon::Builder,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, time::Duration},
};

/// Startup settings of a plain service's stand-in.
#[serde_as]
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Listen address; port 0 picks a free port.
    #[builder(default = loopback())]
    pub address: SocketAddr,
    /// Listen address of the admin interface; port 0 picks a free port.
    #[builder(default = loopback())]
    pub admin: SocketAddr,
    /// Duration of each request.
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
