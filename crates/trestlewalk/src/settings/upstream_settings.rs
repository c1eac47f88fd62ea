//! One upstream that the settings name.

use {
    crate::settings::platform_settings::UNSET_ADDRESS,
    kernel::{ModelId, ServiceId, UpstreamId, ZoneId},
    route::UpstreamRole,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One item of `upstreams`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The TCP address of the upstream; required.
    pub address: SocketAddr,
    /// Whether the upstream refuses an order with an outdated fencing token.
    pub checks_fence: bool,
    /// The model; required for `prefill` and `decode`.
    pub model: Option<ModelId>,
    /// The upstream's name; required.
    pub name: UpstreamId,
    /// The role of the upstream.
    pub role: UpstreamRole,
    /// The service that the upstream belongs to; required.
    pub service: ServiceId,
    /// The availability zone of the upstream; required.
    pub zone: ZoneId,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            address: UNSET_ADDRESS,
            checks_fence: false,
            model: None,
            name: UpstreamId::default(),
            role: UpstreamRole::Plain,
            service: ServiceId::default(),
            zone: ZoneId::default(),
        }
    }
}
