//! The membership of an instance without peers.

use {
    flow::{LifeView, MemberView},
    kernel::{Incarnation, InstanceId},
};

/// Knows this instance only.
pub struct SoloMembers {
    /// This instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

impl LifeView for SoloMembers {
    fn is_gone(&self, instance: &str, incarnation: Incarnation) -> bool {
        *self.instance == *instance && incarnation < self.incarnation
    }
}

impl MemberView for SoloMembers {
    fn zone_members(&self) -> Vec<InstanceId> {
        vec![self.instance.clone()]
    }
}
