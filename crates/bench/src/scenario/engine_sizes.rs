//! The engines of the availability zone.

use {
    crate::scenario::human_time::HumanTime,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// How many engines there are, and how fast they are.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSizes {
    /// Tokens a block of the prefix cache.
    pub block_tokens: u32,
    /// Blocks that a prefill engine's prefix cache holds.
    pub cache_blocks: usize,
    /// Decode engines.
    pub decode: u32,
    /// Between-token time at one running stream.
    #[serde_as(as = "HumanTime")]
    pub decode_base: Duration,
    /// Streams that a decode engine's memory holds.
    pub decode_places: u32,
    /// Between-token time added by each further running stream.
    #[serde_as(as = "HumanTime")]
    pub decode_slope: Duration,
    /// Prefill engines.
    pub prefill: u32,
    /// Prompt tokens that a prefill engine reads a second.
    pub prefill_rate: f64,
}

impl EngineSizes {
    /// The between-token time of a full engine, seconds.
    pub fn full_step(&self) -> f64 {
        let others = f64::from(self.decode_places.saturating_sub(1));
        self.decode_base.as_secs_f64() + self.decode_slope.as_secs_f64() * others
    }
}
