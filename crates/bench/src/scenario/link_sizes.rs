//! The shared link of the availability zone.

use {
    crate::scenario::human_time::HumanTime,
    admit::LinkInfo,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// The link, and how long a KV cache waits for it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSizes {
    /// Bytes a second, shared evenly by the transfers that run.
    pub bytes_per_second: f64,
    /// How long a prefill engine keeps a KV cache that no transfer has begun to move.
    #[serde_as(as = "HumanTime")]
    pub eviction: Duration,
    /// Bytes of KV cache a prompt token.
    pub kv_bytes_per_token: f64,
}

impl LinkSizes {
    /// What an allocator is told of the link.
    pub fn info(&self) -> LinkInfo {
        LinkInfo {
            bytes_per_second: self.bytes_per_second,
            eviction: self.eviction,
            kv_bytes_per_token: self.kv_bytes_per_token,
        }
    }
}
