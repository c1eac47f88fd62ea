//! The addresses of peers.

use {
    kernel::InstanceId,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, PoisonError, RwLock},
    },
};

#[derive(Clone, Copy, Debug)]
struct AddressEntry {
    address: SocketAddr,
    pinned: bool,
}

/// The addresses of the peers. Addresses pinned by the settings stay; those from the platform's list and from the peers
/// themselves replace earlier ones. Clones share one table.
#[derive(Clone, Debug, Default)]
pub struct AddressTable {
    entries: Arc<RwLock<BTreeMap<InstanceId, AddressEntry>>>,
}

impl AddressTable {
    /// The address of a peer.
    pub fn address(&self, instance: &str) -> Option<SocketAddr> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(instance).map(|entry| entry.address)
    }

    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Pins a peer's address: [`AddressTable::set`] no longer changes it.
    pub fn pin(&self, instance: InstanceId, address: SocketAddr) {
        let pinned = true;
        self.put(instance, AddressEntry { address, pinned });
    }

    /// Removes a peer's address, even a pinned one.
    pub fn remove(&self, instance: &str) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.remove(instance);
    }

    /// Sets a peer's address unless it is pinned. The next message opens a new connection if the address changed.
    pub fn set(&self, instance: InstanceId, address: SocketAddr) {
        let pinned = false;
        self.put(instance, AddressEntry { address, pinned });
    }

    fn put(&self, instance: InstanceId, entry: AddressEntry) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        let known = entries.get(&instance);
        if !entry.pinned && known.is_some_and(|known| known.pinned) {
            return;
        }
        entries.insert(instance, entry);
    }
}
