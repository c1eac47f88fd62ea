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
    /// The orders that the instance gives to engines.
    pub control: ControlSettings,
    /// The kind of work of requests that name none.
    pub defaults: WorkDefaults,
    /// The heartbeats between instances.
    pub heartbeat: HeartbeatSettings,
    /// The name of this instance; required.
    pub instance: InstanceId,
    /// The keys by which instances authenticate each other.
    pub keys: KeySettings,
    /// The limits of one instance on sizes, counts and times.
    pub limits: LimitSettings,
    /// The addresses that this instance listens at.
    pub listen: ListenSettings,
    /// The format and the level of the log.
    pub log: LogSettings,
    /// The instances to contact first; the platform's list names the others.
    pub peers: Vec<PeerSettings>,
    /// The platform.
    pub platform: PlatformSettings,
    /// The region of the availability zone; optional.
    pub region: Option<Arc<str>>,
    /// The secret that tickets are signed with, the same for all instances of an operator. Without it each process
    /// makes up its own.
    pub secret: Option<Arc<str>>,
    /// Upstreams that the platform's list does not name.
    pub upstreams: Vec<UpstreamSettings>,
    /// The availability zone of this instance; required.
    pub zone: ZoneId,
}
