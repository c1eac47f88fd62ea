//! Whether this instance reads the store for others, or for itself.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// A flag that one part sets and others go by. What has to be done by few instances alone is done by those that read: their
/// number does not grow with that of all.
#[derive(Clone, Debug)]
pub struct ReaderRole {
    reads: Arc<AtomicBool>,
}

impl ReaderRole {
    /// Whether it reads the store.
    pub fn get(&self) -> bool {
        self.reads.load(Ordering::Relaxed)
    }

    /// Sets whether it reads the store.
    pub fn set(&self, reads: bool) {
        self.reads.store(reads, Ordering::Relaxed);
    }
}

impl Default for ReaderRole {
    /// An instance that knows of no others reads for itself.
    fn default() -> Self {
        Self {
            reads: Arc::new(AtomicBool::new(true)),
        }
    }
}
