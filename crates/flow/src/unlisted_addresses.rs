//! The addresses of upstreams that this instance does not list.

use {
    crate::upstream_registry::UpstreamMap,
    kernel::UpstreamId,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The number of addresses kept in each of the two maps.
const ADDRESS_LIMIT: usize = 4096;

type AddressMap = BTreeMap<UpstreamId, SocketAddr>;

/// The addresses of upstreams that have left the list, and of those that only an allocator lists yet.
#[derive(Debug, Default)]
pub(crate) struct UnlistedAddresses {
    departed: AddressMap,
    granted: AddressMap,
}

impl UnlistedAddresses {
    /// The address that came with a grant.
    pub(crate) fn granted(&self, upstream: &str) -> Option<SocketAddr> {
        self.granted.get(upstream).copied()
    }

    /// The last known address.
    pub(crate) fn last(&self, upstream: &str) -> Option<SocketAddr> {
        let departed = self.departed.get(upstream).copied();
        departed.or_else(|| self.granted(upstream))
    }

    /// Applies a change of the list.
    pub(crate) fn note_change(&mut self, before: &UpstreamMap, now: &UpstreamMap) {
        self.departed.retain(|name, _| !now.contains_key(name));
        self.granted.retain(|name, _| !now.contains_key(name));
        for (name, entry) in before {
            if now.contains_key(name) {
                continue;
            }
            insert_bounded(&mut self.departed, name, entry.address);
        }
    }

    /// Keeps the address that came with a grant, unless the upstream has left the list.
    pub(crate) fn note_granted(&mut self, upstream: &UpstreamId, address: SocketAddr) {
        if self.departed.contains_key(upstream) {
            return;
        }
        insert_bounded(&mut self.granted, upstream, address);
    }
}

fn insert_bounded(map: &mut AddressMap, upstream: &UpstreamId, address: SocketAddr) {
    if map.len() >= ADDRESS_LIMIT && !map.contains_key(upstream) {
        map.pop_first();
    }
    map.insert(upstream.clone(), address);
}
