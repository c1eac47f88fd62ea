//! How much is used a second, averaged.

use std::time::Duration;

/// What was used longer ago counts for little, seconds: rates have to follow a burst within an exchange or two.
const RATE_SPAN: f64 = 0.5;

/// An exponential average over irregular intervals.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageRate(f64);

impl UsageRate {
    /// Units a second.
    pub fn get(self) -> f64 {
        self.0.max(0.0)
    }

    /// A part of the rate.
    pub fn scaled(self, part: f64) -> Self {
        Self(self.0 * part)
    }

    /// So many units were used in a span; less than none when something was taken back.
    pub fn note(&mut self, amount: i64, span: Duration) {
        let amount = amount as f64;
        let span = span.as_secs_f64();
        let weight = 1.0 - (-span / RATE_SPAN).exp();
        self.0 = match span > 0.0 {
            true => self.0 + (amount / span - self.0) * weight,
            false => self.0 + amount / RATE_SPAN,
        };
    }
}
