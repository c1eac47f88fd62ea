//! The upstreams that stated in an answer that they leave. Free of I/O; times are passed in.
//!
//! The statement is final for an incarnation of an upstream, so no later list makes it available again. A restarted one has
//! another id.

use {
    kernel::UpstreamId,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// How long an upstream is remembered after it has left the list: an older list may bring it back.
const RETENTION: Duration = Duration::from_secs(60);

/// The departing upstreams.
#[derive(Clone, Debug, Default)]
pub struct DepartureTable {
    /// When each was last listed, or stated that it leaves.
    seen_at: BTreeMap<UpstreamId, Instant>,
}

impl DepartureTable {
    /// Whether an upstream stated that it leaves.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.seen_at.contains_key(id)
    }

    /// Records that an upstream states that it leaves; returns whether it is the first time.
    pub fn note(&mut self, id: &UpstreamId, now: Instant) -> bool {
        self.seen_at.insert(id.clone(), now).is_none()
    }

    /// The upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.seen_at.keys()
    }

    /// Applies a new list: drops the upstreams that left the list long ago.
    pub fn retain(&mut self, listed: &BTreeSet<UpstreamId>, now: Instant) {
        self.seen_at.retain(|id, seen_at| {
            if listed.contains(id) {
                *seen_at = now;
            }
            now.saturating_duration_since(*seen_at) < RETENTION
        });
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.seen_at.is_empty()
    }
}
