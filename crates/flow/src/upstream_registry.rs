//! The upstreams known to this instance, and which of them are draining.

use {
    crate::unlisted_addresses::UnlistedAddresses,
    arc_swap::ArcSwap,
    kernel::{LockRank, RankedLock, UpstreamId},
    plat::{InstanceKind, InstanceRecord, InstanceState},
    route::load_report::LeavingCause,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// An upstream with its address and drain marks.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// The address on which it serves requests.
    pub address: SocketAddr,
    /// The reasons why it is draining, found by this instance; empty if it accepts work.
    pub marks: BTreeSet<LeavingCause>,
    /// The reason why it is draining, found by another instance.
    pub peer_mark: Option<LeavingCause>,
    /// The record from the platform or the settings.
    pub record: InstanceRecord,
}

impl UpstreamEntry {
    /// Why it is draining according to any instance; `None` if it accepts work.
    pub fn drain_cause(&self) -> Option<LeavingCause> {
        self.marks.first().copied().or(self.peer_mark)
    }
}

/// All upstreams by name.
pub type UpstreamMap = BTreeMap<UpstreamId, UpstreamEntry>;

/// Publishes the known upstreams to all components.
#[derive(Debug)]
pub struct UpstreamRegistry {
    current: ArcSwap<UpstreamMap>,
    fixed: Vec<InstanceRecord>,
    unlisted: RankedLock<UnlistedAddresses>,
    writer: RankedLock<()>,
}

impl UpstreamRegistry {
    /// The address of a listed upstream.
    pub fn address(&self, upstream: &str) -> Option<SocketAddr> {
        self.current.load().get(upstream).map(|entry| entry.address)
    }

    /// The address for new calls to an upstream: the listed one, else the one that came with a grant.
    pub fn call_address(&self, upstream: &str) -> Option<SocketAddr> {
        let listed = self.address(upstream);
        listed.or_else(|| self.unlisted.lock().granted(upstream))
    }

    /// Removes a mark from an upstream.
    pub fn clear(&self, upstream: &str, cause: LeavingCause) {
        if !self.is_marked(upstream, cause) {
            return;
        }
        self.change(|map| {
            let Some(entry) = map.get_mut(upstream) else {
                return;
            };
            entry.marks.remove(&cause);
        });
    }

    /// Whether an upstream has a mark.
    pub fn is_marked(&self, upstream: &str, cause: LeavingCause) -> bool {
        self.current
            .load()
            .get(upstream)
            .is_some_and(|entry| entry.marks.contains(&cause))
    }

    /// Adds a mark to an upstream. Returns `true` if the mark is new.
    pub fn mark(&self, upstream: &str, cause: LeavingCause) -> bool {
        if self.is_marked(upstream, cause) {
            return false;
        }
        let mut is_new = false;
        self.change(|map| {
            let Some(entry) = map.get_mut(upstream) else {
                return;
            };
            is_new = entry.marks.insert(cause);
        });
        is_new
    }

    /// Creates a registry with the upstreams from the settings.
    pub fn new(fixed: Vec<InstanceRecord>) -> Self {
        let registry = Self {
            current: ArcSwap::default(),
            fixed,
            unlisted: RankedLock::new(LockRank::Samples, UnlistedAddresses::default()),
            writer: RankedLock::new(LockRank::Upstreams, ()),
        };
        registry.put_list(&[]);
        registry
    }

    /// The listed or last known address of an upstream, or the one that came with a grant. Streams it still runs have to
    /// be cancelled after it left the list.
    pub fn last_address(&self, upstream: &str) -> Option<SocketAddr> {
        let listed = self.address(upstream);
        listed.or_else(|| self.unlisted.lock().last(upstream))
    }

    /// Keeps the address that came with a grant until this instance lists the upstream. Ignored if it lists the upstream,
    /// or has seen it leave the list.
    pub fn note_granted(&self, upstream: &UpstreamId, address: SocketAddr) {
        if self.address(upstream).is_some() {
            return;
        }
        // The list may have changed before the lock was taken.
        let _guard = self.writer.lock();
        if self.address(upstream).is_some() {
            return;
        }
        self.unlisted.lock().note_granted(upstream, address);
    }

    /// The marks set by this instance, at most one for each upstream.
    pub fn own_marks(&self) -> BTreeMap<UpstreamId, LeavingCause> {
        let mut marks = BTreeMap::new();
        for (name, entry) in self.current.load().iter() {
            let Some(cause) = entry.marks.last() else {
                continue;
            };
            marks.insert(name.clone(), *cause);
        }
        marks
    }

    /// Replaces the marks received from other instances.
    pub fn put_peer_marks(&self, marks: &BTreeMap<UpstreamId, LeavingCause>) {
        let current = self.current.load();
        if current
            .iter()
            .all(|(name, entry)| entry.peer_mark == marks.get(name).copied())
        {
            return;
        }
        self.change(|map| {
            for (name, entry) in map.iter_mut() {
                entry.peer_mark = marks.get(name).copied();
            }
        });
    }

    /// Replaces the list from the platform. Upstreams from the settings are kept.
    pub fn put_list(&self, list: &[InstanceRecord]) {
        self.change(|map| {
            let mut next = UpstreamMap::new();
            for record in self.fixed.iter().chain(list) {
                let Some(entry) = make_entry(record, map) else {
                    continue;
                };
                next.insert(record.name.clone(), entry);
            }
            self.unlisted.lock().note_change(map, &next);
            *map = next;
        });
    }

    /// A snapshot of all upstreams.
    pub fn snapshot(&self) -> Arc<UpstreamMap> {
        self.current.load_full()
    }

    fn change(&self, edit: impl FnOnce(&mut UpstreamMap)) {
        let _guard = self.writer.lock();
        let mut map = UpstreamMap::clone(&self.current.load());
        edit(&mut map);
        self.current.store(Arc::new(map));
    }
}

/// Creates the entry of a record and keeps the upstream's existing marks. `None` for entry instances and invalid
/// addresses.
fn make_entry(record: &InstanceRecord, earlier: &UpstreamMap) -> Option<UpstreamEntry> {
    if record.kind == InstanceKind::Entry {
        return None;
    }
    let address = record.address.parse().ok()?;
    let before = earlier.get(&record.name);
    let mut marks = before.map(|entry| entry.marks.clone()).unwrap_or_default();
    let peer_mark = before.and_then(|entry| entry.peer_mark);
    match record.state {
        InstanceState::Leaving => marks.insert(LeavingCause::Listed),
        InstanceState::Live => marks.remove(&LeavingCause::Listed),
    };
    Some(UpstreamEntry {
        address,
        marks,
        peer_mark,
        record: record.clone(),
    })
}
