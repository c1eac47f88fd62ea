//! The network link between the prefill and decode pools of a cell.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Properties of the link over which KV caches are transferred.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LinkInfo {
    /// Bandwidth in bytes per second, shared by all transfers of the cell.
    pub bytes_per_second: f64,
    /// How long a prefill engine keeps an exported KV cache.
    pub eviction: Duration,
    /// KV cache size in bytes per prompt token.
    pub kv_bytes_per_token: f64,
}
