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
    /// How long after its last heartbeat a peer counts as dead.
    #[serde_as(as = "HumanDuration")]
    pub dead_after: Duration,
    /// How many instances an instance exchanges heartbeats with; while all fit, everyone hears everyone.
    pub neighbours: u32,
    /// The time from one heartbeat to the next.
    #[serde_as(as = "HumanDuration")]
    pub period: Duration,
    /// How long after its last heartbeat a peer gets no new work.
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
