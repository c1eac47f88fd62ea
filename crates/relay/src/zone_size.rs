//! The number of instances in this availability zone.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// A shared number, unknown at first. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ZoneSize {
    /// 0 while unknown.
    members: Arc<AtomicUsize>,
}

impl ZoneSize {
    /// The number of instances; `None` while unknown.
    pub fn get(&self) -> Option<usize> {
        match self.members.load(Ordering::Relaxed) {
            0 => None,
            members => Some(members),
        }
    }

    /// Sets the number of instances, this one included.
    pub fn set(&self, members: usize) {
        self.members.store(members, Ordering::Relaxed);
    }
}
