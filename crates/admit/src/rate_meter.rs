//! How often something happens, lately.

use std::time::{Duration, Instant};

/// The time over which older events fade.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// An exponentially fading rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateMeter {
    at: Option<Instant>,
    value: f64,
}

impl RateMeter {
    pub(crate) fn record(&mut self, now: Instant) {
        self.value = self.per_second(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.at = Some(now);
    }

    pub(crate) fn per_second(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        self.value * (-passed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
