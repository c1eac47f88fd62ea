//! The availability zones that operators have evacuated.

use {
    crate::StoreVersion,
    kernel::ZoneId,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// All evacuated availability zones at one version of the store. Their upstreams get no new work.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationSet {
    /// The version of the store's content that was read; a set with a greater one replaces this one.
    pub version: StoreVersion,
    /// The zones.
    pub zones: BTreeSet<ZoneId>,
}

/// The difference between two sets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Zones whose evacuation has begun.
    pub began: Vec<ZoneId>,
    /// Zones whose evacuation has ended.
    pub ended: Vec<ZoneId>,
}

impl EvacuationSet {
    /// What changes when `next` replaces this set; nothing when `next` is not newer.
    pub fn change_to(&self, next: &Self) -> EvacuationChange {
        if next.version <= self.version {
            return EvacuationChange::default();
        }
        EvacuationChange {
            began: next.zones.difference(&self.zones).cloned().collect(),
            ended: self.zones.difference(&next.zones).cloned().collect(),
        }
    }
}
