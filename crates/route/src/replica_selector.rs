//! The choice among replicas of one plain service.

use {
    crate::{pair_sampler::PairSampler, replica_state::ReplicaState},
    bon::bon,
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Takes the less loaded of two replicas that the seed picks; leaving ones and outliers are left out.
///
/// A replica whose calls fail in a row backs off, longer each time. When every replica backs off, the one whose
/// back-off ends first is tried, since an answer late is better than none; leaving ones get nothing ever.
#[derive(Clone, Debug)]
pub struct ReplicaSelector {
    back_off: Duration,
    draws: PairSampler,
    failure_limit: u32,
    replicas: BTreeMap<UpstreamId, ReplicaState>,
}

#[bon]
impl ReplicaSelector {
    /// A choice that knows no replica yet.
    #[builder]
    pub fn new(
        /// How long the first back-off of an outlier is.
        #[builder(default = Duration::from_secs(1))]
        back_off: Duration,
        /// How many failures in a row make an outlier; at least one.
        #[builder(default = 3)]
        failure_limit: u32,
        /// Settles the draws.
        #[builder(default)]
        seed: u64,
    ) -> Self {
        Self {
            back_off,
            draws: PairSampler::new(seed),
            failure_limit: failure_limit.max(1),
            replicas: BTreeMap::new(),
        }
    }
}

impl ReplicaSelector {
    /// A call was answered by the replica.
    pub fn answered(&mut self, upstream: &UpstreamId) {
        let Some(state) = self.replicas.get_mut(upstream) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
        state.answered();
    }

    /// A call ended without a word on the replica: its caller left, or it was never sent.
    pub fn cancelled(&mut self, upstream: &UpstreamId) {
        let Some(state) = self.replicas.get_mut(upstream) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
    }

    /// A call failed at the replica.
    pub fn failed(&mut self, now: Instant, upstream: &UpstreamId) {
        let Some(state) = self.replicas.get_mut(upstream) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
        state.failed(now, self.failure_limit, self.back_off);
    }

    /// A replica is gone.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        self.replicas.remove(upstream);
    }

    /// A replica takes no new work.
    pub fn mark_leaving(&mut self, upstream: &UpstreamId) {
        if let Some(state) = self.replicas.get_mut(upstream) {
            state.leaving = true;
        }
    }

    /// Calls under way at a replica.
    pub fn outstanding(&self, upstream: &UpstreamId) -> u32 {
        self.replicas
            .get(upstream)
            .map_or(0, |state| state.outstanding)
    }

    /// Takes a replica for one call; none when no replica takes work. The call has to be ended by [`Self::answered`],
    /// [`Self::failed`] or [`Self::cancelled`].
    pub fn pick(&mut self, now: Instant) -> Option<UpstreamId> {
        self.pick_except(now, &[])
    }

    /// As [`Self::pick`], leaving out replicas that an earlier try used, unless there is no other.
    pub fn pick_except(&mut self, now: Instant, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let fresh = self.open(now, tried);
        let open = if fresh.is_empty() {
            self.open(now, &[])
        } else {
            fresh
        };
        let upstream = match open.len() {
            0 => self.first_back()?,
            length => {
                let (first, second) = self.draws.pair(length);
                self.less_loaded(&open[first], &open[second])
            }
        };
        self.replicas.get_mut(&upstream)?.outstanding += 1;
        Some(upstream)
    }

    /// A replica is there, or is back.
    pub fn add(&mut self, upstream: UpstreamId) {
        self.replicas.entry(upstream).or_default().leaving = false;
    }

    /// The replica whose back-off ends first.
    fn first_back(&self) -> Option<UpstreamId> {
        let staying = self.replicas.iter().filter(|(_, state)| !state.leaving);
        let first = staying.min_by_key(|(_, state)| state.back_off_until());
        first.map(|(upstream, _)| upstream.clone())
    }

    fn less_loaded(&self, first: &UpstreamId, second: &UpstreamId) -> UpstreamId {
        if self.outstanding(second) < self.outstanding(first) {
            return second.clone();
        }
        first.clone()
    }

    fn open(&self, now: Instant, tried: &[UpstreamId]) -> Vec<UpstreamId> {
        let mut open = Vec::new();
        for (upstream, state) in &self.replicas {
            if state.leaving || state.is_backing_off(now) || tried.contains(upstream) {
                continue;
            }
            open.push(upstream.clone());
        }
        open
    }
}
