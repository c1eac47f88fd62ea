//! What an engine did.

use {
    engine::wire::OrderKind,
    kernel::FencingToken,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// One order that an engine was given.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderEntry {
    /// Whether it was carried out.
    pub accepted: bool,
    /// Its fencing number.
    pub fence: FencingToken,
    /// What it asked for.
    pub kind: OrderKind,
    /// When it came, since the engine started.
    #[serde(rename = "since_start_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since_start: Duration,
}

/// Counts since the engine started.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCounters {
    /// Runs cancelled before their end, by call or for a lost connection.
    pub cancelled: u64,
    /// Decode runs by request id: the call took a place and its KV cache was there, or its reading began.
    pub decode_runs: BTreeMap<Arc<str>, u64>,
    /// Decode runs by the digits of the prompt's hash.
    pub decode_runs_by_prompt: BTreeMap<Arc<str>, u64>,
    /// Exported KV caches evicted before an import.
    pub evicted: u64,
    /// Streams that generated their last token.
    pub finished: u64,
    /// Claims of a KV cache that belongs to another prompt.
    pub kv_mismatches: u64,
    /// The longest time that a place was held after the last connection of its stream was gone.
    #[serde(rename = "longest_hold_after_disconnect_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub longest_hold_after_disconnect: Duration,
    /// The orders in the order in which they came.
    pub orders: Vec<OrderEntry>,
    /// The most decode places held at one time.
    pub peak_places: u32,
    /// Decode places held now.
    pub places_used: u32,
    /// Decode places held now by streams whose connection is gone.
    pub places_without_connection: u32,
    /// Readings begun, by request id.
    pub prefill_runs: BTreeMap<Arc<str>, u64>,
    /// Prompt tokens read, without those found in the prefix cache.
    pub prompt_tokens_read: u64,
    /// Prompt tokens read whose KV cache was evicted, cancelled or never used.
    pub prompt_tokens_wasted: u64,
    /// Calls refused before they ran, by the error they were given.
    pub refused: BTreeMap<Arc<str>, u64>,
    /// Tokens generated.
    pub tokens_generated: u64,
    /// Imports that ended.
    pub transfers: u64,
}
