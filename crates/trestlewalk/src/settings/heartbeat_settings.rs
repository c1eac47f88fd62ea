//! The heartbeats between instances.

use {
    crate::settings::HumanDuration,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// The section `heartbeat`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeartbeatSettings {
    /// The time after its last heartbeat when a peer counts as dead.
    #[serde_as(as = "HumanDuration")]
    pub dead_after: Duration,
    /// The number of instances that an instance exchanges heartbeats with. If there are no more instances than that,
    /// each exchanges heartbeats with all others.
    pub neighbours: u32,
    /// The interval between heartbeats.
    #[serde_as(as = "HumanDuration")]
    pub period: Duration,
    /// The time after its last heartbeat when a peer becomes suspect and gets no new work.
    #[serde_as(as = "HumanDuration")]
    pub suspect_after: Duration,
}

impl Default for HeartbeatSettings {
    fn default() -> Self {
        Self {
            dead_after: Duration::from_secs(5),
            neighbours: 8,
            period: Duration::from_millis(500),
            suspect_after: Duration::from_millis(1500),
        }
    }
}
