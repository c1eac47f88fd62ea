//! The load of the engines of each stage, as observed by the requests of one instance.
//!
//! Arriving requests sample the state of the engines: the fraction of prefills that had to wait estimates the
//! utilization of the prefill engines, whoever else uses them, and the fraction of requests that found no free slot at
//! once that of the decode engines. No further calls to the engines are needed.

use std::time::{Duration, Instant};

/// The half-life of observations: longer than a burst of a few seconds, shorter than a lasting shift of the load.
const HALF_LIFE: Duration = Duration::from_secs(6);
/// The minimum weight of observations for an estimate: fewer leave an error of more than a sixth.
const MIN_WEIGHT: f64 = 8.0;
/// A prefill counts as delayed if it took more than this multiple of its time with an empty queue. Smaller differences
/// are variation between prompts.
const DELAY_FACTOR: f64 = 1.5;

/// The observed load of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct StagePressure {
    slots: DecayingShare,
    prefills: DecayingShare,
}

/// The exponentially weighted fraction of positive observations.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingShare {
    observed_at: Option<Instant>,
    weight: f64,
    positive: f64,
}

impl StagePressure {
    /// Creates a load without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether a request found the engines full when it first looked for a slot. Its further attempts must not
    /// be recorded, otherwise a burst would affect the fraction for long.
    pub fn note_slot_search(&mut self, is_full: bool, now: Instant) {
        self.slots.note(is_full, now);
    }

    /// Records a prefill that took `took`, where its engine needs `unqueued` with an empty queue.
    pub fn note_prefill(&mut self, unqueued: Duration, took: Duration, now: Instant) {
        self.prefills
            .note(took > unqueued.mul_f64(DELAY_FACTOR), now);
    }

    /// The fraction of requests that found no free slot at once; `None` while too few were observed.
    pub fn slot_miss_share(&self, now: Instant) -> Option<f64> {
        self.slots.share(now)
    }

    /// The fraction of prefills that had to wait; `None` while too few were observed.
    pub fn prefill_wait_share(&self, now: Instant) -> Option<f64> {
        self.prefills.share(now)
    }
}

impl DecayingShare {
    fn decay(&self, now: Instant) -> f64 {
        let Some(observed_at) = self.observed_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(observed_at);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn note(&mut self, is_positive: bool, now: Instant) {
        let decay = self.decay(now);
        self.weight = self.weight * decay + 1.0;
        self.positive = self.positive * decay + f64::from(u8::from(is_positive));
        self.observed_at = Some(now);
    }

    fn share(&self, now: Instant) -> Option<f64> {
        let is_enough = self.weight * self.decay(now) >= MIN_WEIGHT;
        is_enough.then(|| self.positive / self.weight)
    }
}
