//! All settings of one entry instance.

use {
    crate::settings::{
        ControlSettings, HeartbeatSettings, KeySettings, LimitSettings, ListenSettings,
        LogSettings, PeerSettings, PlatformSettings, UpstreamSettings, WorkDefaults,
    },
    kernel::{InstanceId, ZoneId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The whole settings file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// What the instance may order engines to do.
    pub control: ControlSettings,
    /// The kind of work of a request that names none.
    pub defaults: WorkDefaults,
    /// The heartbeats between instances.
    pub heartbeat: HeartbeatSettings,
    /// The name of this instance; required.
    pub instance: InstanceId,
    /// The keys that instances trust each other by.
    pub keys: KeySettings,
    /// What one instance takes on, and for how long.
    pub limits: LimitSettings,
    /// The addresses that this instance listens at.
    pub listen: ListenSettings,
    /// What is logged, and how.
    pub log: LogSettings,
    /// The instances to greet first; the platform's list names the rest.
    pub peers: Vec<PeerSettings>,
    /// The platform.
    pub platform: PlatformSettings,
    /// The region of the availability zone.
    pub region: Option<Arc<str>>,
    /// The secret that tickets are signed with, the same for all instances of an operator.
    pub secret: Option<Arc<str>>,
    /// Upstreams that the platform's list does not name.
    pub upstreams: Vec<UpstreamSettings>,
    /// The availability zone of this instance; required.
    pub zone: ZoneId,
}
