//! The forecast of stream completions, which free decode places.

use std::time::{Duration, Instant};

/// The horizons of the forecast in seconds.
pub(crate) const HORIZONS: [f64; 11] = [0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6];
/// The maximum age of a forecast before it is recomputed.
const MAX_AGE: Duration = Duration::from_millis(5);

/// The mean and the variance of the number of streams that complete within each horizon.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletionForecast {
    computed_at: Option<Instant>,
    means: [f64; HORIZONS.len()],
    variances: [f64; HORIZONS.len()],
}

impl CompletionForecast {
    /// Adds one stream, given its probability of completion within a number of seconds.
    pub(crate) fn add(&mut self, probability: impl Fn(f64) -> f64) {
        for (index, horizon) in HORIZONS.iter().enumerate() {
            let ended = probability(*horizon);
            self.means[index] += ended;
            self.variances[index] += ended * (1.0 - ended);
        }
    }

    /// Resets the forecast, with `now` as its time of computation.
    pub(crate) fn clear(&mut self, now: Instant) {
        *self = Self {
            computed_at: Some(now),
            ..Self::default()
        };
    }

    /// The mean and the variance of the number of completions within some seconds.
    pub(crate) fn ends_within(&self, seconds: f64) -> (f64, f64) {
        let last = HORIZONS.len() - 1;
        let upper = HORIZONS.partition_point(|horizon| *horizon < seconds);
        if upper > last {
            return (self.means[last], self.variances[last]);
        }
        let Some(lower) = upper.checked_sub(1) else {
            return (self.means[0], self.variances[0]);
        };
        let fraction = (seconds - HORIZONS[lower]) / (HORIZONS[upper] - HORIZONS[lower]);
        let blend = |values: &[f64]| values[lower] + (values[upper] - values[lower]) * fraction;
        (blend(&self.means), blend(&self.variances))
    }

    /// Whether the forecast must be recomputed.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.computed_at
            .is_none_or(|computed_at| now.saturating_duration_since(computed_at) >= MAX_AGE)
    }

    /// Forces a recomputation before the next use.
    pub(crate) fn invalidate(&mut self) {
        self.computed_at = None;
    }

    /// Removes one stream, given its current probability of completion within a number of seconds.
    pub(crate) fn sub(&mut self, probability: impl Fn(f64) -> f64) {
        for (index, horizon) in HORIZONS.iter().enumerate() {
            let ended = probability(*horizon);
            self.means[index] = (self.means[index] - ended).max(0.0);
            let variance = self.variances[index] - ended * (1.0 - ended);
            self.variances[index] = variance.max(0.0);
        }
    }

    /// Seconds until this many streams are expected to have completed.
    pub(crate) fn seconds_until(&self, ends: f64) -> f64 {
        if ends <= 0.0 {
            return 0.0;
        }
        let upper = self.means.partition_point(|mean| *mean < ends);
        let last = HORIZONS.len() - 1;
        if upper > last {
            let mean = self.means[last].max(f64::MIN_POSITIVE);
            return HORIZONS[last] * (ends / mean).min(100.0);
        }
        let Some(lower) = upper.checked_sub(1) else {
            return 0.0;
        };
        let span = (self.means[upper] - self.means[lower]).max(f64::MIN_POSITIVE);
        let fraction = (ends - self.means[lower]) / span;
        HORIZONS[lower] + (HORIZONS[upper] - HORIZONS[lower]) * fraction
    }
}
