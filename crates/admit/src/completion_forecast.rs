//! When decode places are expected to be free.

use std::time::{Duration, Instant};

/// The horizons that the forecast is worked out for, seconds.
pub(crate) const HORIZONS: [f64; 11] = [0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6];
/// How long a forecast is good for.
const MAX_AGE: Duration = Duration::from_millis(5);

/// How many streams end within each horizon: the mean and the variance.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletionForecast {
    at: Option<Instant>,
    means: [f64; HORIZONS.len()],
    variances: [f64; HORIZONS.len()],
}

impl CompletionForecast {
    /// Adds one stream by its chance to have ended, for each horizon.
    pub(crate) fn add(&mut self, probability: impl Fn(f64) -> f64) {
        for (index, horizon) in HORIZONS.iter().enumerate() {
            let ended = probability(*horizon);
            self.means[index] += ended;
            self.variances[index] += ended * (1.0 - ended);
        }
    }

    /// Starts over, at a time.
    pub(crate) fn clear(&mut self, now: Instant) {
        *self = Self {
            at: Some(now),
            ..Self::default()
        };
    }

    /// The mean and the variance of the ends within some seconds.
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

    /// Whether the forecast has to be worked out anew.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.at
            .is_none_or(|at| now.saturating_duration_since(at) >= MAX_AGE)
    }

    /// The forecast is wrong from now on.
    pub(crate) fn invalidate(&mut self) {
        self.at = None;
    }

    /// Takes one stream out, by its chance to have ended as it is now.
    pub(crate) fn sub(&mut self, probability: impl Fn(f64) -> f64) {
        for (index, horizon) in HORIZONS.iter().enumerate() {
            let ended = probability(*horizon);
            self.means[index] = (self.means[index] - ended).max(0.0);
            let variance = self.variances[index] - ended * (1.0 - ended);
            self.variances[index] = variance.max(0.0);
        }
    }

    /// Seconds until this many streams are expected to have ended.
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
