//! Which life of which instance this process is.

use {
    crate::settings::EntrySettings,
    kernel::{Incarnation, InstanceId, ZoneId, unix_time},
    serde::Serialize,
    std::{sync::Arc, time::SystemTime},
};

/// The name, the place and the life of an instance.
#[derive(Clone, Debug, Serialize)]
pub struct EntryIdentity {
    /// Tells the lives of the instance apart.
    pub incarnation: Incarnation,
    /// The name.
    pub instance: InstanceId,
    /// The region, when the settings give one.
    pub region: Option<Arc<str>>,
    /// The version of the program.
    pub version: &'static str,
    /// The availability zone.
    pub zone: ZoneId,
}

impl EntryIdentity {
    /// The identity of a life that starts at `now`.
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
