//! Whether this instance reads the store itself or gets its data from another instance.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// A shared flag. Tasks that only a few instances should perform are left to those that read the store, since their
/// number does not grow with the fleet.
#[derive(Clone, Debug)]
pub struct ReaderRole {
    reads: Arc<AtomicBool>,
}

impl ReaderRole {
    /// Whether this instance reads the store.
    pub fn get(&self) -> bool {
        self.reads.load(Ordering::Relaxed)
    }

    /// Sets whether this instance reads the store.
    pub fn set(&self, reads: bool) {
        self.reads.store(reads, Ordering::Relaxed);
    }
}

impl Default for ReaderRole {
    /// An instance that knows no others reads the store itself.
    fn default() -> Self {
        Self {
            reads: Arc::new(AtomicBool::new(true)),
        }
    }
}
