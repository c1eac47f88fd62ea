//! How long requests of a model service hold their decode slots, as observed by this instance.

use {kernel::seeded_rng, std::time::Duration};

/// The initial mean: about the duration of an answer of ordinary length, prefill included.
const FIRST_MEAN: Duration = Duration::from_secs(2);
/// The weight of the latest request in the mean, which thus covers about twenty requests.
const LATEST_WEIGHT: f64 = 0.05;
/// The jitter of retries, as a fraction of the mean: callers refused at the same time do not return at the same time.
const RETRY_JITTER: f64 = 0.5;
/// The seed of the jitter.
const JITTER_SEED: u64 = 5;

/// The moving average of the time from the reservation of a slot to the end of its stream.
#[derive(Clone, Copy, Debug)]
pub struct SlotHoldTime {
    mean: Duration,
}

impl SlotHoldTime {
    /// When a caller that found no free slot should retry: by then the requests that hold the slots now have ended. The
    /// jitter depends on the id of the request.
    pub fn retry_after(&self, request: &str) -> Duration {
        let sample = seeded_rng::mix(JITTER_SEED, request.as_bytes()) as f64 / u64::MAX as f64;
        self.mean.mul_f64(1.0 + RETRY_JITTER * (sample - 0.5))
    }

    /// Creates an average without observations.
    pub fn new() -> Self {
        Self { mean: FIRST_MEAN }
    }

    /// Records how long a slot was held by a stream that completed.
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
