//! How long requests of a model service hold their places, by what this instance has seen.

use {kernel::seeded_rng, std::time::Duration};

/// Before anything was seen: about what a note of an ordinary length takes, its reading included.
const FIRST_MEAN: Duration = Duration::from_secs(2);
/// How much one request moves the mean: about the last twenty count.
const LATEST_WEIGHT: f64 = 0.05;
/// Callers that are refused at one moment come back over this share of the mean, so that they don't meet again.
const COME_BACK_SPREAD: f64 = 0.5;
/// The seed of the spread.
const SPREAD_SEED: u64 = 5;

/// The mean time from the reservation of a place to the end of its stream.
#[derive(Clone, Copy, Debug)]
pub struct SlotHoldTime {
    mean: Duration,
}

impl SlotHoldTime {
    /// When a caller that found no place may come back: by then the requests that have the places now have ended.
    pub fn retry_after(&self, request: &str) -> Duration {
        let draw = seeded_rng::mix(SPREAD_SEED, request.as_bytes()) as f64 / u64::MAX as f64;
        self.mean.mul_f64(1.0 + COME_BACK_SPREAD * (draw - 0.5))
    }

    /// A pace of which nothing was seen.
    pub fn new() -> Self {
        Self { mean: FIRST_MEAN }
    }

    /// A place was held for so long, by a stream that came to its end.
    pub fn note(&mut self, held: Duration) {
        let mean = self.mean.as_secs_f64();
        let moved = mean + (held.as_secs_f64() - mean) * LATEST_WEIGHT;
        self.mean = Duration::from_secs_f64(moved);
    }
}

impl Default for SlotHoldTime {
    fn default() -> Self {
        Self::new()
    }
}
