//! What the admin server answers from.

use {
    crate::admin::{ReadinessState, StatusSource},
    kernel::StateMap,
    prometheus::Registry,
    std::sync::Arc,
};

/// The shared state behind the admin server. Clones share it.
#[derive(bon::Builder)]
pub struct AdminState<S> {
    /// Whether the instance is ready.
    pub readiness: Arc<ReadinessState>,
    /// What plug-ins dump.
    pub map: StateMap,
    /// The metrics.
    pub registry: Registry,
    /// Which table is in force.
    pub source: Arc<S>,
}

impl<S: StatusSource> Clone for AdminState<S> {
    fn clone(&self) -> Self {
        Self {
            readiness: self.readiness.clone(),
            map: self.map.clone(),
            registry: self.registry.clone(),
            source: self.source.clone(),
        }
    }
}
