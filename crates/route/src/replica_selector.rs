//! Selects a replica of one plain service.

use {
    crate::{pair_sampler::PairSampler, replica_state::ReplicaState},
    bon::bon,
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Selects the less loaded of two replicas sampled at random, leaving out draining replicas and outliers.
///
/// A replica with several consecutive failures is in backoff, which doubles each time. When every replica is in
/// backoff, the one whose backoff ends first is tried, since a late answer is better than none. A draining replica is
/// never selected.
#[derive(Clone, Debug)]
pub struct ReplicaSelector {
    back_off: Duration,
    sampler: PairSampler,
    failure_limit: u32,
    replicas: BTreeMap<UpstreamId, ReplicaState>,
}

#[bon]
impl ReplicaSelector {
    /// Creates a selector without replicas.
    #[builder]
    pub fn new(
        /// The duration of the first backoff of an outlier.
        #[builder(default = Duration::from_secs(1))]
        back_off: Duration,
        /// The number of consecutive failures that make an outlier; at least one.
        #[builder(default = 3)]
        failure_limit: u32,
        /// The seed of the sampling.
        #[builder(default)]
        seed: u64,
    ) -> Self {
        Self {
            back_off,
            sampler: PairSampler::new(seed),
            failure_limit: failure_limit.max(1),
            replicas: BTreeMap::new(),
        }
    }
}

impl ReplicaSelector {
    /// Records that the replica answered a call.
    pub fn answered(&mut self, upstream: &UpstreamId) {
        let Some(state) = self.replicas.get_mut(upstream) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
        state.answered();
    }

    /// Records a call that says nothing about the replica: its caller disconnected, or it was never sent.
    pub fn cancelled(&mut self, upstream: &UpstreamId) {
        let Some(state) = self.replicas.get_mut(upstream) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
    }

    /// Records that a call to the replica failed.
    pub fn failed(&mut self, now: Instant, upstream: &UpstreamId) {
        let Some(state) = self.replicas.get_mut(upstream) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
        state.failed(now, self.failure_limit, self.back_off);
    }

    /// Removes a replica.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        self.replicas.remove(upstream);
    }

    /// Marks a replica as draining: it gets no new calls until it is added again.
    pub fn mark_leaving(&mut self, upstream: &UpstreamId) {
        if let Some(state) = self.replicas.get_mut(upstream) {
            state.leaving = true;
        }
    }

    /// The number of in-flight calls to a replica.
    pub fn outstanding(&self, upstream: &UpstreamId) -> u32 {
        self.replicas
            .get(upstream)
            .map_or(0, |state| state.outstanding)
    }

    /// Selects a replica for one call; `None` when there is none or all are draining. The call has to be ended with
    /// [`Self::answered`], [`Self::failed`] or [`Self::cancelled`].
    pub fn pick(&mut self, now: Instant) -> Option<UpstreamId> {
        self.pick_except(now, &[])
    }

    /// Like [`Self::pick`], but avoids replicas of earlier attempts unless there is no other.
    pub fn pick_except(&mut self, now: Instant, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let untried = self.eligible(now, tried);
        let candidates = if untried.is_empty() {
            self.eligible(now, &[])
        } else {
            untried
        };
        let upstream = match candidates.len() {
            0 => self.first_recovering()?,
            length => {
                let (first, second) = self.sampler.pair(length);
                self.less_loaded(&candidates[first], &candidates[second])
            }
        };
        self.replicas.get_mut(&upstream)?.outstanding += 1;
        Some(upstream)
    }

    /// Adds a replica, or marks a known one as accepting calls again.
    pub fn add(&mut self, upstream: UpstreamId) {
        self.replicas.entry(upstream).or_default().leaving = false;
    }

    /// The replica whose backoff ends first.
    fn first_recovering(&self) -> Option<UpstreamId> {
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

    fn eligible(&self, now: Instant, tried: &[UpstreamId]) -> Vec<UpstreamId> {
        let mut eligible = Vec::new();
        for (upstream, state) in &self.replicas {
            if state.leaving || state.is_backing_off(now) || tried.contains(upstream) {
                continue;
            }
            eligible.push(upstream.clone());
        }
        eligible
    }
}
