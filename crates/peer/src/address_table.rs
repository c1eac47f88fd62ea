//! Where peers answer.

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

/// The addresses of the peers. What the settings pin stays; what the platform's list and the peers themselves say
/// replaces what they said before. Clones share one book.
#[derive(Clone, Debug, Default)]
pub struct AddressTable {
    entries: Arc<RwLock<BTreeMap<InstanceId, AddressEntry>>>,
}

impl AddressTable {
    /// Where a peer answers.
    pub fn address(&self, instance: &str) -> Option<SocketAddr> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(instance).map(|entry| entry.address)
    }

    /// An empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets a peer's address for good: [`AddressTable::set`] does not change it any more.
    pub fn pin(&self, instance: InstanceId, address: SocketAddr) {
        let pinned = true;
        self.put(instance, AddressEntry { address, pinned });
    }

    /// Forgets a peer's address.
    pub fn remove(&self, instance: &str) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.remove(instance);
    }

    /// Sets a peer's address, in place of an earlier one that is not pinned. The next message opens a new connection.
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
