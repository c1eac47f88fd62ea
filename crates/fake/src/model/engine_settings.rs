//! The settings of an engine's stand-in.

use {
    crate::{expected_answer::LengthSpread, platform::platform_settings::loopback},
    bon::Builder,
    engine::wire::route_role::EngineRole,
    kernel::ModelId,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// How an engine's stand-in starts.
#[serde_as]
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Where it answers; port 0 for any.
    #[builder(default = loopback())]
    pub address: SocketAddr,
    /// Where it takes faults and shows counters; port 0 for any.
    #[builder(default = loopback())]
    pub admin: SocketAddr,
    /// Blocks that the prefix cache holds.
    #[builder(default = 4096)]
    pub cache_blocks: usize,
    /// Cache events show this long after they happen.
    #[builder(default = Duration::from_millis(200))]
    #[serde(rename = "cache_event_delay_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cache_event_delay: Duration,
    /// The probability that a cache event is never shown, 0 to 1.
    #[builder(default)]
    pub cache_gap_probability: f64,
    /// Whether an order with an old fencing number is refused.
    #[builder(default = true)]
    pub checks_fence: bool,
    /// An exported KV cache whose import began is kept this long at most.
    #[builder(default = Duration::from_secs(30))]
    #[serde(rename = "claim_limit_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub claim_limit: Duration,
    /// The between-token time of one running stream.
    #[builder(default = Duration::from_millis(10))]
    #[serde(rename = "decode_base_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub decode_base: Duration,
    /// Streams that the memory holds.
    #[builder(default = 20)]
    pub decode_places: u32,
    /// The between-token time that each further running stream adds.
    #[builder(default = Duration::from_micros(500))]
    #[serde(rename = "decode_slope_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub decode_slope: Duration,
    /// A kept stream without a connection is cancelled after this long; by default it runs to its end.
    #[serde(rename = "disconnect_grace_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub disconnect_grace: Option<Duration>,
    /// An exported KV cache that nobody imports is evicted after this long.
    #[builder(default = Duration::from_millis(800))]
    #[serde(rename = "eviction_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub eviction: Duration,
    /// A finished stream can be resumed for this long.
    #[builder(default = Duration::from_secs(2))]
    #[serde(rename = "finished_keep_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub finished_keep: Duration,
    /// Whether a call goes on when its connection is gone; otherwise it is cancelled at once.
    #[builder(default = true)]
    pub keep_on_disconnect: bool,
    /// Bytes of KV cache a prompt token.
    #[builder(default = 131_072.0)]
    pub kv_bytes_per_token: f64,
    /// How the lengths of answers spread.
    #[builder(default)]
    pub length_spread: LengthSpread,
    /// Bytes a second that all imports share.
    #[builder(default = 5e9)]
    pub link_bytes_per_second: f64,
    /// The load report shows what was true this long ago.
    #[builder(default = Duration::from_millis(250))]
    #[serde(rename = "load_lag_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_lag: Duration,
    /// Bytes of one model's weights.
    #[builder(default = 2e9)]
    pub model_bytes: f64,
    /// The models loaded at the start; an engine without any takes calls for each model.
    #[builder(default)]
    pub models: Vec<ModelId>,
    /// Its name, as `remote_engine_id` gives it.
    #[builder(default = Arc::from("engine"))]
    pub name: Arc<str>,
    /// Prompt tokens read a second; the readings of one snapshot share it.
    #[builder(default = 20_000.0)]
    pub prefill_rate: f64,
    /// Calls that wait to be read at most; a further one is refused as full.
    #[builder(default = 1024)]
    pub queue_limit: usize,
    /// Prompts read at one time.
    #[builder(default = 1)]
    pub readers: usize,
    /// What it does at the start.
    #[builder(default = EngineRole::Decode)]
    pub role: EngineRole,
    /// How long a change of role takes; new calls are refused meanwhile.
    #[builder(default)]
    #[serde(rename = "role_change_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub role_change: Duration,
    /// Seeds what is left to chance.
    #[builder(default)]
    pub seed: u64,
    /// Bytes a second of the weight store.
    #[builder(default = 1e9)]
    pub weight_bytes_per_second: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
