//! A meter for the recent rate of events.

use std::time::{Duration, Instant};

/// The time constant of the exponential decay.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// An exponentially decaying event rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateMeter {
    updated_at: Option<Instant>,
    value: f64,
}

impl RateMeter {
    pub(crate) fn record(&mut self, now: Instant) {
        self.value = self.per_second(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.updated_at = Some(now);
    }

    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(updated_at).as_secs_f64();
        self.value * (-passed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
