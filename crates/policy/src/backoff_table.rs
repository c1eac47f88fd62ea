//! The upstreams that asked this instance for a pause. Free of I/O; times are passed in.

use {
    kernel::{UpstreamId, seeded_rng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// The time over which callers come back after a pause.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// When the backoff of each upstream ends.
#[derive(Clone, Debug, Default)]
pub struct BackoffTable {
    until: BTreeMap<UpstreamId, Instant>,
}

impl BackoffTable {
    /// The time left until an upstream may be called again; `None` when it asked for no pause, or the pause is over.
    pub fn left(&self, id: &UpstreamId, now: Instant) -> Option<Duration> {
        let left = self.until.get(id)?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// When a caller may come back that was refused because of the pause; `None` without one. Callers are spread, so that
    /// they don't all come back when the pause ends.
    pub fn retry_after(&self, id: &UpstreamId, request: &str, now: Instant) -> Option<Duration> {
        let share = seeded_rng::rendezvous_score(request, id) as f64 / u64::MAX as f64;
        Some(self.left(id, now)? + RETURN_SPREAD.mul_f64(share))
    }

    /// Records that an upstream asks for a pause; a shorter one does not end an earlier one sooner. Returns whether no pause
    /// was under way.
    pub fn note(&mut self, id: &UpstreamId, pause: Duration, now: Instant) -> bool {
        let is_new = self.left(id, now).is_none();
        let until = self.until.entry(id.clone()).or_insert(now);
        *until = (*until).max(now + pause);
        is_new && !pause.is_zero()
    }

    /// The upstreams with the time that is left of their pauses.
    pub fn rows(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, Duration)> {
        let rows = self.until.keys();
        rows.filter_map(move |id| Some((id, self.left(id, now)?)))
    }

    /// Drops the pauses that are over.
    pub fn drop_ended(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
    }
}
