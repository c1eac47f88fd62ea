//! One line of the platform's list of instances.

use {
    kernel::{ModelId, ServiceId, ZoneId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What an instance is.
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

/// What the platform believes of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It is about to go.
    Leaving,
    /// It runs.
    Live,
}

/// One instance in the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceRecord {
    /// Where it answers: `IP:port`, HTTP for upstreams, QUIC for entry instances.
    pub address: Arc<str>,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// What it is.
    pub kind: InstanceKind,
    /// The model, for engines.
    #[serde(default)]
    pub model: Option<ModelId>,
    /// Its name.
    pub name: Arc<str>,
    /// The service, for upstreams.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// What the platform believes of it.
    pub state: InstanceState,
    /// Where it runs.
    pub zone: ZoneId,
}
