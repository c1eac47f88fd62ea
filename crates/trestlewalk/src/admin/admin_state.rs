//! The state behind the admin server.

use {
    crate::admin::{ReadinessState, StatusSource},
    kernel::StateMap,
    prometheus::Registry,
    std::sync::Arc,
};

/// What the handlers of the admin server read. Clones share the same parts.
#[derive(bon::Builder)]
pub struct AdminState<S> {
    /// The conditions that decide whether the instance is ready.
    pub readiness: Arc<ReadinessState>,
    /// The state that plug-ins dump.
    pub map: StateMap,
    /// The registry that `/metrics` renders.
    pub registry: Registry,
    /// Reports which table is in force.
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
