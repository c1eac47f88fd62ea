//! Counters of an engine.

use {
    engine::wire::OrderKind,
    kernel::FencingToken,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// An order received by an engine.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderEntry {
    /// Whether it passed the check of the fencing token.
    pub accepted: bool,
    /// Fencing token.
    pub fence: FencingToken,
    /// Requested change.
    pub kind: OrderKind,
    /// Time of arrival, measured from the engine's start.
    #[serde(rename = "since_start_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since_start: Duration,
}

/// Counts since the engine started.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCounters {
    /// Calls currently held back by the `slow_accept` fault; each is accepted even if its connection is lost.
    pub accepting: u64,
    /// Runs cancelled before they finished, by request or after a lost connection.
    pub cancelled: u64,
    /// Decode runs by request id, counted when the KV cache is found or a local prefill starts.
    pub decode_runs: BTreeMap<Arc<str>, u64>,
    /// Decode runs by prompt digest.
    pub decode_runs_by_prompt: BTreeMap<Arc<str>, u64>,
    /// Exported KV caches evicted before they were released.
    pub evicted: u64,
    /// Streams that generated their last token.
    pub finished: u64,
    /// Claims of a KV cache that belongs to another prompt.
    pub kv_mismatches: u64,
    /// Longest time that a place was held after its stream lost the last connection.
    #[serde(rename = "longest_hold_after_disconnect_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub longest_hold_after_disconnect: Duration,
    /// Received orders in order of arrival.
    pub orders: Vec<OrderEntry>,
    /// Highest number of decode places held at one time.
    pub peak_places: u32,
    /// Decode places currently held.
    pub places_used: u32,
    /// Decode places currently held by streams without a connection.
    pub places_without_connection: u32,
    /// Prefills started, by request id.
    pub prefill_runs: BTreeMap<Arc<str>, u64>,
    /// Prompt tokens prefilled, excluding prefix cache hits.
    pub prompt_tokens_read: u64,
    /// Prompt tokens prefilled whose KV cache was evicted, cancelled or never used.
    pub prompt_tokens_wasted: u64,
    /// Calls refused before they ran, by error.
    pub refused: BTreeMap<Arc<str>, u64>,
    /// Tokens generated.
    pub tokens_generated: u64,
    /// Completed KV cache imports.
    pub transfers: u64,
}
