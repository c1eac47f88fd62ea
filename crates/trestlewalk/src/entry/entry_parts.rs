//! The state that all parts of an entry instance share.

use {
    crate::{admin::ReadinessState, entry::EntryIdentity, settings::EntrySettings},
    kernel::{StateMap, WorkerPool},
    prometheus::Registry,
    std::{sync::Arc, time::SystemTime},
};

/// The shared state. Clones refer to the same parts.
#[derive(Clone)]
pub struct EntryParts {
    /// The conditions that decide whether the instance is ready.
    pub readiness: Arc<ReadinessState>,
    /// The instance and its incarnation.
    pub identity: Arc<EntryIdentity>,
    /// The state that plug-ins dump.
    pub map: StateMap,
    /// The pool in which background tasks run.
    pub pool: WorkerPool,
    /// The registry of metrics.
    pub registry: Registry,
    /// The settings in force.
    pub settings: Arc<EntrySettings>,
}

impl EntryParts {
    /// Creates the state of a process that starts at `now`. The state map holds the readiness, the identity and the
    /// settings.
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
