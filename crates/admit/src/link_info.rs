//! The shared link between the pools of a cell.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What is known of the link that the KV cache crosses.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LinkInfo {
    /// Bytes a second, shared by all transfers of the cell.
    pub bytes_per_second: f64,
    /// How long a prefill engine keeps an exported KV cache.
    pub eviction: Duration,
    /// Bytes of KV cache a prompt token.
    pub kv_bytes_per_token: f64,
}
