//! When the routes and customers of this instance were last confirmed to be the newest.

use {
    kernel::{LockRank, RankedLock, TableVersion},
    policy::TableAge,
    std::{sync::Arc, time::Instant},
};

/// The freshness of the table, updated by whoever reads the store or receives a snapshot from a reader, and checked by
/// requests. Clones share it.
#[derive(Clone, Debug)]
pub struct RouteFreshness {
    age: Arc<RankedLock<TableAge>>,
}

impl RouteFreshness {
    /// When a version was last confirmed to be the newest; `None` if it never was.
    pub fn as_of(&self, version: TableVersion) -> Option<Instant> {
        self.age.lock().as_of(version)
    }

    /// The newest known version, and when it was last confirmed to be the newest.
    pub fn newest(&self) -> Option<(TableVersion, Instant)> {
        self.age.lock().newest()
    }

    /// Records that the store had no later version than this one at `as_of`.
    pub fn note(&self, version: TableVersion, as_of: Instant) {
        self.age.lock().note(version, as_of);
    }
}

impl Default for RouteFreshness {
    /// No version has been confirmed yet.
    fn default() -> Self {
        Self {
            age: Arc::new(RankedLock::new(LockRank::Samples, TableAge::default())),
        }
    }
}
