//! The identity of a process: which instance it runs, and in which incarnation.

use {
    crate::settings::EntrySettings,
    kernel::{Incarnation, InstanceId, ZoneId, unix_time},
    serde::Serialize,
    std::{sync::Arc, time::SystemTime},
};

/// The name, the location and the incarnation of an instance.
#[derive(Clone, Debug, Serialize)]
pub struct EntryIdentity {
    /// Tells this run of the instance from earlier ones; the start time in microseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// The name of the instance.
    pub instance: InstanceId,
    /// The region; `None` when the settings give none.
    pub region: Option<Arc<str>>,
    /// The version of the binary.
    pub version: &'static str,
    /// The availability zone.
    pub zone: ZoneId,
}

impl EntryIdentity {
    /// Creates the identity of a process that starts at `now`.
    pub fn new(settings: &EntrySettings, now: SystemTime) -> Self {
        Self {
            incarnation: unix_time::micros(now),
            instance: settings.instance.clone(),
            region: settings.region.clone(),
            version: env!("CARGO_PKG_VERSION"),
            zone: settings.zone.clone(),
        }
    }
}
