//! What a model engine's HTTP interface carries, in the form that disaggregated-prefill connectors publish.
//!
//! | call | what it does |
//! |---|---|
//! | `POST /v1/completions` | runs a prompt; `kv_transfer_params` tells prefill from decode; `X-Request-Id` names the stream |
//! | `GET /streams` | [`StreamRecord`] of each stream the engine holds |
//! | `GET /streams/{id}?offset=N` | resumes a stream as SSE from token `N` |
//! | `DELETE /streams/{id}` | cancels a stream, its waiting, reading, exported KV cache or decode place; 204, 404 if unknown |
//! | `GET /load` | [`EngineLoad`] |
//! | `GET /cache/events?after=SEQ` | [`CacheEvents`] |
//! | `POST /orders` | [`EngineOrder`]; 409 with [`OrderRefusal`] for an old fencing number, if it checks |
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

    /// What an engine does.
    #[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
    #[serde(rename_all = "lowercase")]
    pub enum EngineRole {
        /// Generates tokens from an imported KV cache.
        Decode,
        /// Reads prompts and exports the KV cache.
        Prefill,
    }
}

/// The header that names a stream.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The data of the event that ends a whole SSE stream.
pub const DONE_MARKER: &str = "[DONE]";
/// Bytes of prompt text a token, for whoever has no tokeniser.
pub const BYTES_PER_TOKEN: usize = 4;

/// How the KV cache moves.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvTransferParams {
    /// Set on a prefill call: keep the KV cache for a remote decode engine.
    #[serde(default)]
    pub do_remote_decode: bool,
    /// Set on a decode call: import the KV cache from the remote prefill engine.
    #[serde(default)]
    pub do_remote_prefill: bool,
    /// The handle of the exported KV cache.
    #[serde(default)]
    pub remote_block_ids: Option<Vec<u64>>,
    /// The prefill engine.
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
    /// How the KV cache moves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransferParams>,
    /// The most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The model.
    pub model: ModelId,
    /// Lower runs first.
    #[serde(default)]
    pub priority: i32,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Whether the answer comes as SSE.
    #[serde(default)]
    pub stream: bool,
}

/// One choice of an answer; this system asks for one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CompletionChoice {
    /// `length` or `stop` on the last chunk.
    #[serde(default)]
    pub finish_reason: Option<Arc<str>>,
    /// Always 0.
    #[serde(default)]
    pub index: u32,
    /// The text.
    #[serde(default)]
    pub text: Arc<str>,
}

/// Token counts of an answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenUsage {
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u32,
    /// Tokens read.
    #[serde(default)]
    pub prompt_tokens: u32,
}

/// A whole answer, or one chunk of a stream: one token a chunk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CompletionChunk {
    /// One choice.
    #[serde(default)]
    pub choices: Vec<CompletionChoice>,
    /// The stream's name: the call's `X-Request-Id`.
    #[serde(default)]
    pub id: Arc<str>,
    /// Set on a prefill call's answer: what to send with the decode call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_transfer_params: Option<KvTransferParams>,
    /// The model.
    #[serde(default)]
    pub model: Arc<str>,
    /// `text_completion`.
    #[serde(default)]
    pub object: Arc<str>,
    /// The offset of the chunk's token in the answer. Engines that resume streams give it; a reader drops repeats by it
    /// and sees gaps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_index: Option<u32>,
    /// Set on the last chunk and on whole answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
}

/// An engine's error.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineError {
    /// `full`, `evicted`, `leaving`, `model_missing`, `bad_request` or `internal`.
    pub error: Arc<str>,
    /// Whether any of the call's work was done.
    pub ran: bool,
}

/// What a stream is doing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StreamState {
    /// Generates tokens.
    Decoding,
    /// Its KV cache waits to be imported.
    Exported,
    /// Its prompt is being read.
    Prefilling,
    /// Its KV cache crosses the link.
    Transferring,
    /// Waits to be read.
    Waiting,
}

/// One stream that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRecord {
    /// Whether a connection waits for its answer; absent when the engine doesn't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connected: Option<bool>,
    /// Its name.
    pub id: Arc<str>,
    /// What it is doing.
    pub state: StreamState,
    /// Tokens so far.
    pub tokens: u32,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Between-token seconds at one stream.
    pub decode_base_seconds: f64,
    /// Streams that its memory holds.
    pub decode_places: u32,
    /// Between-token seconds added by each further stream.
    pub decode_slope_seconds: f64,
    /// Streams that hold a place.
    pub decode_used: u32,
    /// How long an exported KV cache is kept, milliseconds.
    pub eviction_ms: u64,
    /// Bytes of KV cache a token.
    pub kv_bytes_per_token: f64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The shared link's bytes a second.
    pub link_bytes_per_second: f64,
    /// The models that it has loaded.
    pub models: Vec<ModelId>,
    /// Prompt tokens read a second.
    pub prefill_rate: f64,
    /// Prompt tokens waiting or being read.
    pub prefill_tokens: u64,
    /// What it does now.
    pub role: EngineRole,
    /// How long ago the report was taken, milliseconds.
    pub taken_ms_ago: u64,
}

/// Blocks that came and went since a sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Blocks evicted.
    pub evicted: Vec<BlockHash>,
    /// The sequence number to ask after next.
    pub next: u64,
    /// Blocks stored.
    pub stored: Vec<BlockHash>,
}

/// What an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderKind {
    /// Change role.
    ChangeRole {
        /// The new role.
        role: EngineRole,
    },
    /// Load a model.
    LoadModel {
        /// The model.
        model: ModelId,
    },
}

/// An order with the fencing number of whoever gives it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// The fencing number.
    pub fence: FencingToken,
    /// What it asks for.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// The refusal of an order with an old fencing number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRefusal {
    /// The greatest fencing number seen.
    pub seen: FencingToken,
}
