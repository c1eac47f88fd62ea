//! How many instances the own availability zone has.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// A number that one part learns and others use; not known at first.
#[derive(Clone, Debug, Default)]
pub struct ZoneSize {
    /// 0 while it is not known.
    members: Arc<AtomicUsize>,
}

impl ZoneSize {
    /// The number; none while it is not known.
    pub fn get(&self) -> Option<usize> {
        match self.members.load(Ordering::Relaxed) {
            0 => None,
            members => Some(members),
        }
    }

    /// The zone has so many instances, this one included.
    pub fn set(&self, members: usize) {
        self.members.store(members, Ordering::Relaxed);
    }
}
