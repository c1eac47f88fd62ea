//! The instances that this one knows.

use {arc_swap::ArcSwap, kernel::ZoneId, policy::FleetMembers, std::sync::Arc};

/// The known instances, none at first. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    members: Arc<ArcSwap<FleetMembers>>,
}

impl FleetView {
    /// The instances of all availability zones.
    pub fn members(&self) -> Arc<FleetMembers> {
        self.members.load_full()
    }

    /// Sets the instances, this one included.
    pub fn set(&self, members: FleetMembers) {
        if **self.members.load() != members {
            self.members.store(Arc::new(members));
        }
    }

    /// The number of instances of an availability zone; `None` while unknown.
    pub fn zone_size(&self, zone: &ZoneId) -> Option<usize> {
        match self.members.load().count_in(zone) {
            0 => None,
            count => Some(count),
        }
    }
}
