//! What the operators declare about a service.

use {
    kernel::ServiceId,
    policy::ColdRule,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceInfo {
    /// What its upstreams tolerate while they are cold; `None` for any rate of calls.
    pub cold: Option<ColdRule>,
    /// The properties of its model engines; `None` for plain services.
    pub engine: Option<EngineInfo>,
    /// The unique name.
    pub name: ServiceId,
}

/// What the model engines of a service have in common.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineInfo {
    /// How long an engine keeps a reserved slot at most; `None` when engines take no reservations.
    pub hold_life: Option<Duration>,
}
