//! An entry of the platform's instance list.

use {
    kernel::{ModelId, ServiceId, ZoneId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The kind of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceKind {
    /// A decode engine.
    Decode,
    /// An entry instance of this system.
    Entry,
    /// A replica of a plain service.
    Plain,
    /// A prefill engine.
    Prefill,
}

/// The state of an instance according to the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It is shutting down.
    Leaving,
    /// It is running.
    Live,
}

/// One instance in the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceRecord {
    /// The address that it listens on: `IP:port`, HTTP for upstreams, QUIC for entry instances.
    pub address: Arc<str>,
    /// Whether it refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Its kind.
    pub kind: InstanceKind,
    /// The model, for engines.
    #[serde(default)]
    pub model: Option<ModelId>,
    /// Its name.
    pub name: Arc<str>,
    /// The service, for upstreams.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Its state according to the platform.
    pub state: InstanceState,
    /// Its availability zone.
    pub zone: ZoneId,
}
