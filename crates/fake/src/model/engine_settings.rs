//! Settings of an engine's stand-in.

use {
    crate::{expected_answer::LengthSpread, platform::platform_settings::loopback},
    bon::Builder,
    engine::wire::engine_role::EngineRole,
    kernel::ModelId,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Startup settings of an engine's stand-in.
#[serde_as]
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Listen address; port 0 picks a free port.
    #[builder(default = loopback())]
    pub address: SocketAddr,
    /// Listen address of the admin interface; port 0 picks a free port.
    #[builder(default = loopback())]
    pub admin: SocketAddr,
    /// Capacity of the prefix cache in blocks.
    #[builder(default = 4096)]
    pub cache_blocks: usize,
    /// Delay before a cache event is published.
    #[builder(default = Duration::from_millis(200))]
    #[serde(rename = "cache_event_delay_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cache_event_delay: Duration,
    /// Probability that a cache event is never published, 0 to 1.
    #[builder(default)]
    pub cache_gap_probability: f64,
    /// Whether an order with a stale fencing token is refused.
    #[builder(default = true)]
    pub checks_fence: bool,
    /// Maximum lifetime of an exported KV cache after its import starts.
    #[builder(default = Duration::from_secs(30))]
    #[serde(rename = "claim_limit_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub claim_limit: Duration,
    /// Inter-token latency of a single running stream.
    #[builder(default = Duration::from_millis(10))]
    #[serde(rename = "decode_base_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub decode_base: Duration,
    /// Number of decode streams that fit in memory.
    #[builder(default = 20)]
    pub decode_places: u32,
    /// Inter-token latency added by each additional running stream.
    #[builder(default = Duration::from_micros(500))]
    #[serde(rename = "decode_slope_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub decode_slope: Duration,
    /// Time after which a stream without a connection is cancelled; `None` lets it run to completion.
    #[serde(rename = "disconnect_grace_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub disconnect_grace: Option<Duration>,
    /// Time after which an unclaimed exported KV cache is evicted.
    #[builder(default = Duration::from_millis(800))]
    #[serde(rename = "eviction_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub eviction: Duration,
    /// Time for which a finished stream can be resumed.
    #[builder(default = Duration::from_secs(2))]
    #[serde(rename = "finished_keep_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub finished_keep: Duration,
    /// Whether a call continues after its connection is lost; otherwise it is cancelled at once.
    #[builder(default = true)]
    pub keep_on_disconnect: bool,
    /// Bytes of KV cache per prompt token.
    #[builder(default = 131_072.0)]
    pub kv_bytes_per_token: f64,
    /// Distribution of completion lengths.
    #[builder(default)]
    pub length_spread: LengthSpread,
    /// Link bandwidth shared by all imports, in bytes per second.
    #[builder(default = 5e9)]
    pub link_bytes_per_second: f64,
    /// Staleness of the load report.
    #[builder(default = Duration::from_millis(250))]
    #[serde(rename = "load_lag_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_lag: Duration,
    /// Size of one model's weights in bytes.
    #[builder(default = 2e9)]
    pub model_bytes: f64,
    /// Models loaded at startup; an engine without any accepts calls for every model.
    #[builder(default)]
    pub models: Vec<ModelId>,
    /// Name reported as `remote_engine_id`.
    #[builder(default = Arc::from("engine"))]
    pub name: Arc<str>,
    /// Prompt tokens prefilled per second, shared by concurrent prefills.
    #[builder(default = 20_000.0)]
    pub prefill_rate: f64,
    /// Maximum number of calls queued for prefill; further ones are refused with `full`.
    #[builder(default = 1024)]
    pub queue_limit: usize,
    /// Maximum number of concurrent prefills.
    #[builder(default = 1)]
    pub readers: usize,
    /// Role at startup.
    #[builder(default = EngineRole::Decode)]
    pub role: EngineRole,
    /// Duration of a role change, during which new calls are refused.
    #[builder(default)]
    #[serde(rename = "role_change_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub role_change: Duration,
    /// Seed of the random number generator.
    #[builder(default)]
    pub seed: u64,
    /// Bandwidth of the weight store in bytes per second.
    #[builder(default = 1e9)]
    pub weight_bytes_per_second: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
