//! What the operators declare of one service.

use {kernel::ServiceId, std::time::Duration};

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceInfo {
    /// What its model engines can do; none for plain services.
    pub engine: Option<EngineInfo>,
    /// How many connections one upstream takes from all callers together.
    pub connections: u32,
    /// The name.
    pub name: ServiceId,
}

/// What the model engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineInfo {
    /// Whether a running request's KV cache may be copied to another engine as it grows.
    pub backs_up: bool,
    /// How long a KV cache that waits for its transfer is kept.
    pub handle_life: Duration,
    /// How long a reserved place is kept at most; none when engines take no reservations.
    pub hold_life: Option<Duration>,
    /// How many tokens the KV cache of one engine holds.
    pub kv_tokens: u64,
    /// How many requests one engine runs at once.
    pub slots: u32,
}
