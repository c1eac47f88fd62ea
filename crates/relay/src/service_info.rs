//! What the operators declare of one service.

use {
    kernel::ServiceId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceInfo {
    /// What its model engines can do; none for plain services.
    pub engine: Option<EngineInfo>,
    /// The name.
    pub name: ServiceId,
}

/// What the model engines of a service have in common.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineInfo {
    /// How long a reserved place is kept at most; none when engines take no reservations.
    pub hold_life: Option<Duration>,
}
