//! What every part of an entry instance shares.

use {
    crate::{admin::ReadinessState, entry::EntryIdentity, settings::EntrySettings},
    kernel::{StateMap, WorkerPool},
    prometheus::Registry,
    std::{sync::Arc, time::SystemTime},
};

/// The shared parts. Clones share them.
#[derive(Clone)]
pub struct EntryParts {
    /// Whether the instance is ready.
    pub readiness: Arc<ReadinessState>,
    /// Which life of which instance this is.
    pub identity: Arc<EntryIdentity>,
    /// The state that plug-ins dump.
    pub map: StateMap,
    /// The background work.
    pub pool: WorkerPool,
    /// The metrics.
    pub registry: Registry,
    /// The settings.
    pub settings: Arc<EntrySettings>,
}

impl EntryParts {
    /// The parts of a life that starts at `now`; the state map has the readiness, the identity and the settings.
    pub fn new(settings: EntrySettings, now: SystemTime) -> Self {
        let readiness = Arc::new(ReadinessState::new());
        let identity = Arc::new(EntryIdentity::new(&settings, now));
        let settings = Arc::new(settings);
        let map = StateMap::new();
        map.insert(readiness.clone());
        map.insert(identity.clone());
        map.insert(settings.clone());
        Self {
            readiness,
            identity,
            map,
            pool: WorkerPool::new(),
            registry: Registry::new(),
            settings,
        }
    }
}
