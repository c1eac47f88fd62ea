//! The connections to all peers.

use {
    crate::link_slot::LinkSlot,
    kernel::InstanceId,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
};

/// One slot a peer. Clones share it. A slot's lock is held while a connection is made, so that there is one attempt.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    slots: Arc<Mutex<BTreeMap<InstanceId, Arc<tokio::sync::Mutex<LinkSlot>>>>>,
}

impl LinkTable {
    /// Forgets all connections: each closes when nothing uses it any more.
    pub fn clear(&self) {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.clear();
    }

    /// Forgets one peer's connection.
    pub fn remove(&self, instance: &str) {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.remove(instance);
    }

    /// The slot of a peer.
    pub fn slot(&self, instance: &InstanceId) -> Arc<tokio::sync::Mutex<LinkSlot>> {
        let mut slots = self
            .slots
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        slots.entry(instance.clone()).or_default().clone()
    }
}
