//! A prefill engine as the allocator sees it.

use {
    crate::request_key::RequestKey,
    route::{LaggedLoad, UpstreamInfo},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// How long a reading that is over its time is thought to go on, as a share of the time it has taken.
const OVERDUE_SHARE: f64 = 0.1;

/// What is read there and whether it takes more.
#[derive(Clone, Debug)]
pub(crate) struct PrefillEngine {
    /// What is known of it.
    pub(crate) info: UpstreamInfo,
    /// Requests whose KV cache lies there.
    pub(crate) exported: BTreeSet<RequestKey>,
    /// Whether it takes no new work.
    pub(crate) is_draining: bool,
    /// Prompt tokens that it was given and has not read.
    pub(crate) load: LaggedLoad,
    free_at: Instant,
    /// Requests that it was given, with the seconds that each takes alone.
    prefilling: BTreeMap<RequestKey, f64>,
}

impl PrefillEngine {
    /// Gives it a prompt to read.
    pub(crate) fn add(&mut self, now: Instant, key: RequestKey, tokens: f64) {
        let seconds = self.prefill_seconds(tokens);
        self.free_at = add_seconds(self.free_at.max(now), seconds);
        self.load.add(now, tokens as u64);
        self.prefilling.insert(key, seconds);
    }

    /// Whether it has nothing to read, or will in less than `lookahead`.
    pub(crate) fn is_idle(&self, now: Instant, lookahead: Duration) -> bool {
        self.prefilling.is_empty()
            || (now < self.free_at && self.free_at.duration_since(now) < lookahead)
    }

    pub(crate) fn new(now: Instant, info: UpstreamInfo) -> Self {
        Self {
            free_at: now,
            info,
            exported: BTreeSet::new(),
            is_draining: false,
            load: LaggedLoad::default(),
            prefilling: BTreeMap::new(),
        }
    }

    /// Seconds until it has read what it was given.
    pub(crate) fn queue_seconds(&self, now: Instant) -> f64 {
        let foreign = self.prefill_seconds(self.load.foreign() as f64);
        if self.prefilling.is_empty() {
            return foreign;
        }
        let left = self.free_at.saturating_duration_since(now).as_secs_f64();
        let taken: f64 = self.prefilling.values().sum();
        left.max(taken * OVERDUE_SHARE) + foreign
    }

    /// Seconds that reading so many tokens takes alone.
    pub(crate) fn prefill_seconds(&self, tokens: f64) -> f64 {
        tokens / self.info.prefill_rate.max(f64::MIN_POSITIVE)
    }

    /// Takes back a prompt: it was read, it failed or its caller is gone.
    pub(crate) fn remove(&mut self, now: Instant, key: &RequestKey) {
        let Some(seconds) = self.prefilling.remove(key) else {
            return;
        };
        let tokens = seconds * self.info.prefill_rate;
        self.load.sub(now, tokens.round() as u64);
        let left: f64 = self.prefilling.values().sum();
        self.free_at = self.free_at.min(add_seconds(now, left));
    }
}

fn add_seconds(time: Instant, seconds: f64) -> Instant {
    time + Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
