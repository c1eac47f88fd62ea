//! A rate of calls that an upstream accepts.

use serde::{Deserialize, Serialize};

/// Bounds of a rate, calls per second. The lower one is above zero: an upstream that gets no call at all could never
/// state another rate.
const BOUNDS: (f64, f64) = (0.05, 1e6);

/// Calls per second, from all instances together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(from = "f64", into = "f64")]
pub struct CallRate(f64);

impl CallRate {
    /// The rate, calls per second; finite and greater than 0.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Parses an unsigned decimal number without an exponent or a unit; `None` when it is anything else. Rates outside
    /// the supported range are clamped.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        if !text.bytes().all(is_decimal) {
            return None;
        }
        text.parse().ok().map(|rate: f64| Self::from(rate))
    }
}

impl From<f64> for CallRate {
    fn from(rate: f64) -> Self {
        let (min, max) = BOUNDS;
        // `max` returns the other operand for a rate that is not a number.
        Self(rate.max(min).min(max))
    }
}

impl From<CallRate> for f64 {
    fn from(rate: CallRate) -> Self {
        rate.0
    }
}
