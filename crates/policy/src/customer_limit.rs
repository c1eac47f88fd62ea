//! The limit of a customer, over all instances together.

use serde::{Deserialize, Serialize};

/// The unit in which the usage of a customer is counted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaUnit {
    /// Every request costs one.
    Requests,
    /// A request costs its prompt tokens plus the maximum number of tokens it may generate.
    Tokens {
        /// The cost of a request that does not state them.
        plain: u64,
    },
}

/// The token bucket of a customer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CustomerLimit {
    /// The capacity of the bucket, units.
    pub burst: f64,
    /// The refill rate, units per second; greater than 0.
    pub rate: f64,
    /// What the other fields count.
    pub unit: QuotaUnit,
}

impl CustomerLimit {
    /// The cost of a request; `tokens` is `None` when the request does not state them.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}
