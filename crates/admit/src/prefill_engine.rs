//! The allocator's view of a prefill engine.

use {
    crate::request_key::RequestKey,
    route::{LaggedLoad, LoadReport, UpstreamInfo},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// The assumed remaining time of an overdue prefill, as a share of its expected duration.
const OVERDUE_SHARE: f64 = 0.1;

/// A prefill engine, the prompts on it, and its queue.
#[derive(Clone, Debug)]
pub(crate) struct PrefillEngine {
    /// Role and rates of the engine.
    pub(crate) info: UpstreamInfo,
    /// Requests whose KV cache the engine keeps.
    pub(crate) exported: BTreeSet<RequestKey>,
    /// Whether the engine is draining and takes no new work.
    pub(crate) is_draining: bool,
    /// Prompt tokens assigned and not prefilled yet, corrected for the delay of load reports.
    pub(crate) load: LaggedLoad,
    /// When a call last failed because the engine was unavailable; `None` once a later load report has arrived.
    pub(crate) suspended_at: Option<Instant>,
    free_at: Instant,
    /// Requests being prefilled, with the seconds that each takes alone.
    prefilling: BTreeMap<RequestKey, f64>,
}

impl PrefillEngine {
    /// Assigns a prompt to the engine.
    pub(crate) fn add(&mut self, now: Instant, key: RequestKey, tokens: f64) {
        let seconds = self.prefill_seconds(tokens);
        self.free_at = add_seconds(self.free_at.max(now), seconds);
        self.load.add(now, tokens as u64);
        self.prefilling.insert(key, seconds);
    }

    /// Whether the engine has no work, or will run out of it in less than `lookahead`.
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
            suspended_at: None,
            prefilling: BTreeMap::new(),
        }
    }

    /// Seconds until the assigned prompts are prefilled.
    pub(crate) fn queue_seconds(&self, now: Instant) -> f64 {
        let foreign = self.prefill_seconds(self.load.foreign() as f64);
        if self.prefilling.is_empty() {
            return foreign;
        }
        let left = self.free_at.saturating_duration_since(now).as_secs_f64();
        let expected: f64 = self.prefilling.values().sum();
        left.max(expected * OVERDUE_SHARE) + foreign
    }

    /// Seconds to prefill this many tokens on an otherwise idle engine.
    pub(crate) fn prefill_seconds(&self, tokens: f64) -> f64 {
        tokens / self.info.prefill_rate.max(f64::MIN_POSITIVE)
    }

    /// Handles a load report. One that was taken after the last failed call ends the suspension.
    pub(crate) fn report(&mut self, report: &LoadReport) {
        self.load.report(report.taken, report.prefill_tokens);
        self.suspended_at.take_if(|at| *at < report.taken);
    }

    /// Removes a prompt that was prefilled, failed or was cancelled.
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
