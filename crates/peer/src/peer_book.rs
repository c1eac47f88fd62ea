//! Where peers answer.

use {
    kernel::InstanceId,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, sync::RwLock},
};

/// The addresses of the peers, from the settings and from the platform's list. Clones share one book.
#[derive(Clone, Debug, Default)]
pub struct PeerBook {
    addresses: Arc<RwLock<BTreeMap<InstanceId, SocketAddr>>>,
}

impl PeerBook {
    /// Where a peer answers.
    pub fn address(&self, instance: &str) -> Option<SocketAddr> {
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(|poison| poison.into_inner());
        addresses.get(instance).copied()
    }

    /// An empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets a peer's address.
    pub fn remove(&self, instance: &str) {
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(|poison| poison.into_inner());
        addresses.remove(instance);
    }

    /// Sets a peer's address, in place of an earlier one. The next message opens a new connection.
    pub fn set(&self, instance: InstanceId, address: SocketAddr) {
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(|poison| poison.into_inner());
        addresses.insert(instance, address);
    }
}
