//! The messages of a model engine's HTTP interface, in the format of disaggregated-prefill connectors.
//!
//! | call | what it does |
//! |---|---|
//! | `POST /v1/completions` | runs a prompt; `kv_transfer_params` tells prefill from decode; `X-Request-Id` names the stream |
//! | `GET /streams` | [`StreamRecord`] of each stream the engine holds |
//! | `GET /streams/{id}?offset=N` | resumes a stream as SSE from token `N` |
//! | `DELETE /streams/{id}` | cancels a waiting, prefilling, exported or decoding stream; 204, or 404 if unknown |
//! | `GET /load` | [`EngineLoad`] |
//! | `GET /cache/events?after=SEQ` | [`CacheEvents`] |
//! | `POST /orders` | [`EngineOrder`]; 409 with [`OrderRefusal`] for an outdated fencing token, if it checks |
//!
//! Refusals before anything ran are 429 or 503 with [`EngineError`], whose `ran` is `false`.

use {
    engine_role::EngineRole,
    kernel::{BlockHash, FencingToken, ModelId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The role of an engine.
pub mod engine_role {
    use serde::{Deserialize, Serialize};

    /// The stage of requests that an engine runs.
    #[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
    #[serde(rename_all = "lowercase")]
    pub enum EngineRole {
        /// Generates tokens from an imported KV cache.
        Decode,
        /// Prefills prompts and exports their KV caches.
        Prefill,
    }
}

/// The header that names a stream.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The data of the event that ends a complete SSE stream.
pub const DONE_MARKER: &str = "[DONE]";
/// The estimated bytes of prompt text per token, for use without a tokeniser.
pub const BYTES_PER_TOKEN: usize = 4;

/// The parameters of the KV cache transfer between a prefill and a decode engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvTransferParams {
    /// Set on a prefill call: keep the KV cache for a remote decode engine.
    #[serde(default)]
    pub do_remote_decode: bool,
    /// Set on a decode call: import the KV cache from the remote prefill engine.
    #[serde(default)]
    pub do_remote_prefill: bool,
    /// The block ids that identify the exported KV cache.
    #[serde(default)]
    pub remote_block_ids: Option<Vec<u64>>,
    /// The prefill engine's id.
    #[serde(default)]
    pub remote_engine_id: Option<Arc<str>>,
    /// The prefill engine's address.
    #[serde(default)]
    pub remote_host: Option<Arc<str>>,
    /// The prefill engine's port.
    #[serde(default)]
    pub remote_port: Option<u16>,
}

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CompletionCall {
    /// The parameters of the KV cache transfer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransferParams>,
    /// The maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The model.
    pub model: ModelId,
    /// The scheduling priority. Lower values run first.
    #[serde(default)]
    pub priority: i32,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One choice of an answer. This system always requests a single choice.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CompletionChoice {
    /// `length` or `stop` on the last chunk.
    #[serde(default)]
    pub finish_reason: Option<Arc<str>>,
    /// Always 0.
    #[serde(default)]
    pub index: u32,
    /// The generated text.
    #[serde(default)]
    pub text: Arc<str>,
}

/// The token counts of an answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenUsage {
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u32,
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u32,
}

/// A complete answer or one chunk of a stream, which carries one token.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CompletionChunk {
    /// At most one choice.
    #[serde(default)]
    pub choices: Vec<CompletionChoice>,
    /// The stream's id, which is the `X-Request-Id` of the call.
    #[serde(default)]
    pub id: Arc<str>,
    /// Set in the answer to a prefill call: the parameters to send with the decode call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransferParams>,
    /// The model.
    #[serde(default)]
    pub model: Arc<str>,
    /// Always `text_completion`.
    #[serde(default)]
    pub object: Arc<str>,
    /// The index of the chunk's token in the answer. Engines that can resume streams set it, so that a client can skip
    /// repeated tokens and detect gaps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_index: Option<u32>,
    /// Set in the last chunk and in complete answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
}

/// An error that an engine reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineError {
    /// `full`, `evicted`, `leaving`, `model_missing`, `bad_request` or `internal`.
    pub error: Arc<str>,
    /// Whether any work on the call was done.
    pub ran: bool,
}

/// The phase of a stream at an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamState {
    /// Generates tokens.
    Decoding,
    /// The KV cache is exported and waits to be imported.
    Exported,
    /// The prompt is being prefilled.
    Prefilling,
    /// The KV cache is being transferred.
    Transferring,
    /// Waits for the prefill to start.
    Waiting,
}

/// One stream that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRecord {
    /// Whether a client is connected to receive the answer. Absent if the engine does not report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connected: Option<bool>,
    /// The stream's id.
    pub id: Arc<str>,
    /// The current phase.
    pub state: StreamState,
    /// Number of tokens generated so far.
    pub tokens: u32,
}

/// The load report of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Seconds between tokens with a single stream.
    pub decode_base_seconds: f64,
    /// The number of decode slots that fit into its memory.
    pub decode_places: u32,
    /// Seconds between tokens added by each further stream.
    pub decode_slope_seconds: f64,
    /// The number of decode slots in use.
    pub decode_used: u32,
    /// How long an exported KV cache is kept, in milliseconds.
    pub eviction_ms: u64,
    /// KV cache bytes per token.
    pub kv_bytes_per_token: f64,
    /// Whether the engine is draining.
    pub leaving: bool,
    /// The bandwidth of the shared link in bytes per second.
    pub link_bytes_per_second: f64,
    /// The loaded models.
    pub models: Vec<ModelId>,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Prompt tokens that are waiting or being prefilled.
    pub prefill_tokens: u64,
    /// The current role.
    pub role: EngineRole,
    /// The age of the report in milliseconds.
    pub taken_ms_ago: u64,
}

/// The cache blocks that were stored or evicted after a sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Hashes of evicted blocks.
    pub evicted: Vec<BlockHash>,
    /// The sequence number to pass as `after` in the next call.
    pub next: u64,
    /// Hashes of stored blocks.
    pub stored: Vec<BlockHash>,
}

/// The action that an order requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderKind {
    /// Switch to another role.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
    /// Load a model.
    LoadModel {
        /// The model to load.
        model: ModelId,
    },
}

/// An order with the fencing token of its sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// The fencing token.
    pub fence: FencingToken,
    /// The requested action.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The refusal of an order with an outdated fencing token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRefusal {
    /// The highest fencing token that the engine has seen.
    pub seen: FencingToken,
}
