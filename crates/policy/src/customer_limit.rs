//! How much a customer may use, over all instances together.

use serde::{Deserialize, Serialize};

/// What a customer's use is counted in.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt and the most tokens it may generate.
    Tokens {
        /// What a request without these numbers counts as.
        plain: u64,
    },
}

/// A bucket of a customer: filled at a rate, and never above its burst.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerLimit {
    /// The most that the bucket holds, in units.
    pub burst: f64,
    /// What it gains a second, units; greater than 0.
    pub rate: f64,
    /// The unit.
    pub unit: QuotaUnit,
}

impl CustomerLimit {
    /// What a request takes out of the bucket, by the tokens that it states, if it does.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}
