//! A moving average of a usage rate.

use std::time::Duration;

/// The time constant of the average, seconds: rates have to follow a burst within one or two exchanges.
const TIME_CONSTANT: f64 = 0.5;

/// An exponential moving average over irregular intervals, units per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageRate(f64);

impl UsageRate {
    /// The average rate, units per second; never negative.
    pub fn get(self) -> f64 {
        self.0.max(0.0)
    }

    /// The rate multiplied by `part`.
    pub fn scaled(self, part: f64) -> Self {
        Self(self.0 * part)
    }

    /// Records that `amount` units were used during `span`; negative after refunds.
    pub fn note(&mut self, amount: i64, span: Duration) {
        let amount = amount as f64;
        let span = span.as_secs_f64();
        let weight = 1.0 - (-span / TIME_CONSTANT).exp();
        self.0 = match span > 0.0 {
            true => self.0 + (amount / span - self.0) * weight,
            false => self.0 + amount / TIME_CONSTANT,
        };
    }
}
