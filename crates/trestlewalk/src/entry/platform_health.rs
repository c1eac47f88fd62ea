//! Whether the platform answers this instance or its peers: for the dump, the metrics, `/table` and the log.

use {
    kernel::{LockRank, PluginEntry, RankedLock, StateMap, unix_time},
    plat::{CallKind, DeferCounts},
    prometheus::{IntCounter, IntGauge, Registry},
    serde_json::{Value, json},
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
};

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_platform,
        metrics: register_platform,
        name: "platform",
    }
}

/// The reachability of the platform at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformSample {
    /// Whether the platform has been silent for so long that the instance counts as cut off from it.
    pub is_cut_off: bool,
    /// Whether this instance polls the platform.
    pub is_poller: bool,
    /// The time since the platform last answered this instance or a peer that reported it.
    pub silence: Duration,
}

#[derive(Debug, Default)]
struct HealthState {
    cut_off_since: Option<SystemTime>,
    sample: PlatformSample,
}

/// The latest sample, and since when the instance has been cut off from the platform.
#[derive(Debug)]
pub struct PlatformHealth {
    counts: Arc<DeferCounts>,
    cut_off: IntGauge,
    reads_deferred: IntCounter,
    silence: IntGauge,
    state: RankedLock<HealthState>,
    writes_deferred: IntCounter,
}

impl PlatformHealth {
    /// Since when neither the instance nor its peers get answers from the platform; `None` while the instance does not
    /// count as cut off.
    pub fn cut_off_since(&self) -> Option<SystemTime> {
        self.state.lock().cut_off_since
    }

    /// Creates the health of a platform that counts as reachable; `counts` counts the calls to it that were deferred.
    ///
    /// # Errors
    ///
    /// The metrics library rejects a name.
    pub fn new(counts: Arc<DeferCounts>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            counts,
            cut_off: IntGauge::new(
                "platform_cut_off",
                "1 while neither this instance nor its peers hear from the platform.",
            )?,
            reads_deferred: IntCounter::new(
                "platform_reads_deferred_total",
                "Reads that waited for the budget of calls.",
            )?,
            silence: IntGauge::new(
                "platform_silence_seconds",
                "How long the platform has not been heard.",
            )?,
            state: RankedLock::new(LockRank::Samples, HealthState::default()),
            writes_deferred: IntCounter::new(
                "platform_writes_deferred_total",
                "Writes that waited for the budget of calls.",
            )?,
        })
    }

    /// Records a sample, and logs when the instance becomes cut off and when that ends.
    pub fn record(&self, now: SystemTime, sample: PlatformSample) {
        self.cut_off.set(i64::from(sample.is_cut_off));
        let seconds = i64::try_from(sample.silence.as_secs());
        self.silence.set(seconds.unwrap_or(i64::MAX));
        self.update_counter(CallKind::Read, &self.reads_deferred);
        self.update_counter(CallKind::Write, &self.writes_deferred);
        let since = now - sample.silence;
        let mut state = self.state.lock();
        state.sample = sample;
        let before = state.cut_off_since;
        state.cut_off_since = sample.is_cut_off.then(|| before.unwrap_or(since));
        drop(state);
        match (before, sample.is_cut_off) {
            (None, true) => {
                let since = unix_time::millis(since);
                tracing::warn!(since, "the platform is silent; serving on");
            }
            (Some(since), false) => {
                let since = unix_time::millis(since);
                tracing::info!(since, "the platform is heard again");
            }
            _ => {}
        }
    }

    fn update_counter(&self, kind: CallKind, counter: &IntCounter) {
        let count = self.counts.get(kind);
        counter.inc_by(count.saturating_sub(counter.get()));
    }
}

fn dump_platform(map: &StateMap) -> Option<Value> {
    let health = map.get::<PlatformHealth>()?;
    let state = health.state.lock();
    let sample = state.sample;
    Some(json!({
        "cut_off_since": state.cut_off_since.map(unix_time::millis),
        "poller": sample.is_poller,
        "reads_deferred": health.counts.get(CallKind::Read),
        "silent_ms": u64::try_from(sample.silence.as_millis()).unwrap_or(u64::MAX),
        "writes_deferred": health.counts.get(CallKind::Write),
    }))
}

fn register_platform(map: &StateMap, registry: &Registry) {
    let Some(health) = map.get::<PlatformHealth>() else {
        return;
    };
    let _ = registry.register(Box::new(health.cut_off.clone()));
    let _ = registry.register(Box::new(health.reads_deferred.clone()));
    let _ = registry.register(Box::new(health.silence.clone()));
    let _ = registry.register(Box::new(health.writes_deferred.clone()));
}
