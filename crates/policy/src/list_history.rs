//! Which upstreams have left, for lists from a store that came back from an older copy. Free of I/O; times are passed in.
//!
//! Such a list shows upstreams as they were before they left, until they have reported again or their rows have expired.

use {
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// How long an upstream that left is remembered. Copies of the store are a few seconds old.
const RETENTION: Duration = Duration::from_secs(60);
/// How long a restored store may show what has left, and lack what was declared: longer than it keeps the row of a silent
/// upstream, and than operators need to write again.
pub(crate) const RESTORED_SPAN: Duration = Duration::from_secs(10);

/// The upstreams that left lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListHistory {
    left_at: BTreeMap<UpstreamId, Instant>,
    restored_until: Option<Instant>,
}

impl ListHistory {
    /// Whether a list that shows this upstream as available is older than its departure.
    pub(crate) fn has_left(&self, id: &UpstreamId, now: Instant) -> bool {
        let is_restored = self.restored_until.is_some_and(|until| now < until);
        is_restored && self.left_at.contains_key(id)
    }

    /// Records that the list shows an upstream as leaving, or no longer.
    pub(crate) fn note_left(&mut self, id: &UpstreamId, now: Instant) {
        self.left_at.insert(id.clone(), now);
    }

    /// Records that the store came back from an older copy.
    pub(crate) fn note_restored(&mut self, now: Instant) {
        self.restored_until = Some(now + RESTORED_SPAN);
    }

    /// Forgets the upstreams that left long ago.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.left_at
            .retain(|_, left_at| now.saturating_duration_since(*left_at) < RETENTION);
    }
}
