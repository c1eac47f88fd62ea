//! How hard the engines of each stage are pressed, by what the requests of one instance met.
//!
//! A request that arrives finds an engine busy as often as the engine is busy, so the share of readings that had to wait
//! tells how busy the prefill engines are, whoever else uses them, and the share of requests that found no place at
//! once how full the decode engines are. Nothing is asked of the engines for it.

use std::time::{Duration, Instant};

/// After so long, half of what was seen is forgotten: longer than a burst of a few seconds, shorter than a shift of load.
const HALF_LIFE: Duration = Duration::from_secs(6);
/// So many observations make a share: fewer leave an error of more than a sixth.
const LEAST_SEEN: f64 = 8.0;
/// A reading waited if it took so many times what its tokens take alone: the rest is scatter between prompts.
const WAITED: f64 = 1.5;

/// The shares of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct StagePressure {
    places: FadingShare,
    readings: FadingShare,
}

/// A share of yes among observations that fade.
#[derive(Clone, Copy, Debug, Default)]
struct FadingShare {
    at: Option<Instant>,
    seen: f64,
    yes: f64,
}

impl StagePressure {
    /// A pressure of which nothing was seen.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request looked for a place, and found one at once or found the engines full. However often it asks after that, it
    /// counts once: a burst would stay in the share for long otherwise.
    pub fn note_slot_search(&mut self, is_full: bool, now: Instant) {
        self.places.note(is_full, now);
    }

    /// A prompt was read in `took`, which its engine would do in `alone`.
    pub fn note_prefill(&mut self, alone: Duration, took: Duration, now: Instant) {
        self.readings.note(took > alone.mul_f64(WAITED), now);
    }

    /// The share of requests that found no place at once; none while too few were seen.
    pub fn slot_miss_share(&self, now: Instant) -> Option<f64> {
        self.places.share(now)
    }

    /// The share of readings that waited; none while too few were seen.
    pub fn prefill_wait_share(&self, now: Instant) -> Option<f64> {
        self.readings.share(now)
    }
}

impl FadingShare {
    fn left(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn note(&mut self, is_yes: bool, now: Instant) {
        let left = self.left(now);
        self.seen = self.seen * left + 1.0;
        self.yes = self.yes * left + f64::from(u8::from(is_yes));
        self.at = Some(now);
    }

    fn share(&self, now: Instant) -> Option<f64> {
        let is_enough = self.seen * self.left(now) >= LEAST_SEEN;
        is_enough.then(|| self.yes / self.seen)
    }
}
