//! The upstreams that this instance knows, and which of them take no new work.

use {
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

/// How many addresses of upstreams are kept that are not listed any more.
const DEPARTED_LIMIT: usize = 4096;

/// One upstream with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Where it answers.
    pub address: SocketAddr,
    /// Why it takes no new work, as this instance sees it; empty while it does.
    pub marks: BTreeSet<LeavingCause>,
    /// Why it takes no new work, as another instance sees it.
    pub peer_mark: Option<LeavingCause>,
    /// What the platform or the settings say of it.
    pub record: InstanceRecord,
}

impl UpstreamEntry {
    /// Why it takes no new work, by anyone's word.
    pub fn drain_cause(&self) -> Option<LeavingCause> {
        self.marks.first().copied().or(self.peer_mark)
    }
}

/// All upstreams by name.
pub type UpstreamMap = BTreeMap<UpstreamId, UpstreamEntry>;

/// Shows the known upstreams to every part.
#[derive(Debug)]
pub struct UpstreamRegistry {
    current: ArcSwap<UpstreamMap>,
    departed: RankedLock<BTreeMap<UpstreamId, SocketAddr>>,
    fixed: Vec<InstanceRecord>,
    writer: RankedLock<()>,
}

impl UpstreamRegistry {
    /// The address of an upstream.
    pub fn address(&self, upstream: &str) -> Option<SocketAddr> {
        self.current.load().get(upstream).map(|entry| entry.address)
    }

    /// Takes a mark off an upstream.
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

    /// Puts a mark on an upstream; `true` when it had none of the kind.
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

    /// A board with the upstreams that the settings name.
    pub fn new(fixed: Vec<InstanceRecord>) -> Self {
        let registry = Self {
            current: ArcSwap::default(),
            departed: RankedLock::new(LockRank::Samples, BTreeMap::new()),
            fixed,
            writer: RankedLock::new(LockRank::Upstreams, ()),
        };
        registry.put_list(&[]);
        registry
    }

    /// Where an upstream answers, or answered when it was listed last: what it still holds has to be freed there.
    pub fn last_address(&self, upstream: &str) -> Option<SocketAddr> {
        let listed = self.address(upstream);
        listed.or_else(|| self.departed.lock().get(upstream).copied())
    }

    /// The marks that this instance itself put on upstreams: one for each marked upstream.
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

    /// Takes the other instances' marks in place of the ones before.
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

    /// Takes the platform's list in place of the one before. Upstreams of the settings stay.
    pub fn put_list(&self, list: &[InstanceRecord]) {
        self.change(|map| {
            let mut next = UpstreamMap::new();
            for record in self.fixed.iter().chain(list) {
                let Some(entry) = make_entry(record, map) else {
                    continue;
                };
                next.insert(record.name.clone(), entry);
            }
            self.note_departed(map, &next);
            *map = next;
        });
    }

    /// All upstreams as they are now.
    pub fn snapshot(&self) -> Arc<UpstreamMap> {
        self.current.load_full()
    }

    fn note_departed(&self, before: &UpstreamMap, now: &UpstreamMap) {
        let mut departed = self.departed.lock();
        departed.retain(|name, _| !now.contains_key(name));
        for (name, entry) in before {
            if now.contains_key(name) {
                continue;
            }
            departed.insert(name.clone(), entry.address);
            if departed.len() > DEPARTED_LIMIT {
                departed.pop_first();
            }
        }
    }

    fn change(&self, edit: impl FnOnce(&mut UpstreamMap)) {
        let _guard = self.writer.lock();
        let mut map = UpstreamMap::clone(&self.current.load());
        edit(&mut map);
        self.current.store(Arc::new(map));
    }
}

/// The entry of a record, with the marks that the upstream had; `None` for entry instances and unreadable addresses.
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
