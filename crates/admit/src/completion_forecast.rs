//! The forecast of a sum of independent events: stream completions, which free decode places, or streams that still hold
//! memory.

use std::time::{Duration, Instant};

/// How many horizons the forecast of completions has.
pub const HORIZON_COUNT: usize = 11;
/// The horizons of the forecast of completions in seconds.
pub const HORIZONS: [f64; HORIZON_COUNT] =
    [0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6];
/// The maximum age of a forecast before it is recomputed.
const MAX_AGE: Duration = Duration::from_millis(5);

/// The mean and the variance of a weighted number of streams at each horizon: of those that complete within it, or of the
/// memory of those that are still there.
///
/// Between two horizons the sums are interpolated, which hides a peak of memory that lies in between: the horizons of such a
/// forecast have to be dense where streams are expected to end.
#[derive(Clone, Copy, Debug)]
pub struct CompletionForecast<const N: usize = HORIZON_COUNT> {
    /// The sums of the weights of all events that are possible.
    ceilings: [f64; N],
    computed_at: Option<Instant>,
    /// Seconds, ascending from 0.
    horizons: &'static [f64; N],
    means: [f64; N],
    variances: [f64; N],
}

impl Default for CompletionForecast {
    fn default() -> Self {
        Self::over(&HORIZONS)
    }
}

impl<const N: usize> CompletionForecast<N> {
    /// An empty forecast that has to be recomputed, over ascending horizons in seconds, the first of them 0.
    pub const fn over(horizons: &'static [f64; N]) -> Self {
        Self {
            ceilings: [0.0; N],
            computed_at: None,
            horizons,
            means: [0.0; N],
            variances: [0.0; N],
        }
    }

    /// Adds one stream, given its probability of completion within a number of seconds.
    pub fn add(&mut self, probability: impl Fn(f64) -> f64) {
        self.add_weighted(|seconds| (probability(seconds), 1.0));
    }

    /// Adds one event, given its probability and its weight after a number of seconds.
    pub fn add_weighted(&mut self, event: impl Fn(f64) -> (f64, f64)) {
        for (index, horizon) in self.horizons.iter().enumerate() {
            let (probability, weight) = event(*horizon);
            self.means[index] += probability * weight;
            self.variances[index] += probability * (1.0 - probability) * weight * weight;
            if probability > 0.0 {
                self.ceilings[index] += weight;
            }
        }
    }

    /// The mean, the variance and the ceiling of the sum at the horizon of an index; `None` beyond the last one.
    pub fn at(&self, index: usize) -> Option<(f64, f64, f64)> {
        let mean = *self.means.get(index)?;
        Some((mean, self.variances[index], self.ceilings[index]))
    }

    /// The sum of the weights of all events that are possible after some seconds: what the sum can't exceed.
    pub fn ceiling(&self, seconds: f64) -> f64 {
        self.blend(&self.ceilings, seconds)
    }

    /// Resets the forecast, with `now` as its time of computation.
    pub fn clear(&mut self, now: Instant) {
        *self = Self {
            computed_at: Some(now),
            ..Self::over(self.horizons)
        };
    }

    /// The mean and the variance of the sum after some seconds, e.g. of the number of completions within them.
    pub fn ends_within(&self, seconds: f64) -> (f64, f64) {
        let mean = self.blend(&self.means, seconds);
        let variance = self.blend(&self.variances, seconds);
        (mean, variance)
    }

    /// Whether the forecast must be recomputed.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.computed_at
            .is_none_or(|computed_at| now.saturating_duration_since(computed_at) >= MAX_AGE)
    }

    /// Forces a recomputation before the next use.
    pub fn invalidate(&mut self) {
        self.computed_at = None;
    }

    /// Removes one stream, given its current probability of completion within a number of seconds.
    pub fn sub(&mut self, probability: impl Fn(f64) -> f64) {
        for (index, horizon) in self.horizons.iter().enumerate() {
            let ended = probability(*horizon);
            self.means[index] = (self.means[index] - ended).max(0.0);
            let variance = self.variances[index] - ended * (1.0 - ended);
            self.variances[index] = variance.max(0.0);
            if ended > 0.0 {
                self.ceilings[index] = (self.ceilings[index] - 1.0).max(0.0);
            }
        }
    }

    /// Seconds until this many streams are expected to have completed.
    pub fn seconds_until(&self, ends: f64) -> f64 {
        if ends <= 0.0 {
            return 0.0;
        }
        let upper = self.means.partition_point(|mean| *mean < ends);
        let last = N - 1;
        if upper > last {
            let mean = self.means[last].max(f64::MIN_POSITIVE);
            return self.horizons[last] * (ends / mean).min(100.0);
        }
        let Some(lower) = upper.checked_sub(1) else {
            return 0.0;
        };
        let span = (self.means[upper] - self.means[lower]).max(f64::MIN_POSITIVE);
        let fraction = (ends - self.means[lower]) / span;
        self.horizons[lower] + (self.horizons[upper] - self.horizons[lower]) * fraction
    }

    /// The value after some seconds, interpolated between the horizons.
    fn blend(&self, values: &[f64; N], seconds: f64) -> f64 {
        let horizons = self.horizons;
        let upper = horizons.partition_point(|horizon| *horizon < seconds);
        if upper >= N {
            return values[N - 1];
        }
        let Some(lower) = upper.checked_sub(1) else {
            return values[0];
        };
        let fraction = (seconds - horizons[lower]) / (horizons[upper] - horizons[lower]);
        values[lower] + (values[upper] - values[lower]) * fraction
    }
}
