//! As of when this instance knows its routes and customers to be the newest.

use {
    kernel::{LockRank, RankedLock, TableVersion},
    policy::TableAge,
    std::{sync::Arc, time::Instant},
};

/// A mark that whoever reads the store sets, or hears from one that reads it, and requests go by. Clones share it.
#[derive(Clone, Debug)]
pub struct RouteFreshness {
    age: Arc<RankedLock<TableAge>>,
}

impl RouteFreshness {
    /// The last moment at which a version was known to be the newest.
    pub fn as_of(&self, version: TableVersion) -> Option<Instant> {
        self.age.lock().as_of(version)
    }

    /// The newest version that is known, with its moment.
    pub fn newest(&self) -> Option<(TableVersion, Instant)> {
        self.age.lock().newest()
    }

    /// At a moment the store had no later version than this.
    pub fn note(&self, version: TableVersion, as_of: Instant) {
        self.age.lock().note(version, as_of);
    }
}

impl Default for RouteFreshness {
    /// Nothing is known.
    fn default() -> Self {
        Self {
            age: Arc::new(RankedLock::new(LockRank::Samples, TableAge::default())),
        }
    }
}
