//! What is known of an upstream before any load.

use {
    kernel::{ModelId, ServiceId, UpstreamId, ZoneId},
    serde::{Deserialize, Serialize},
};

/// What an upstream does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamRole {
    /// Generates tokens from an imported KV cache.
    Decode,
    /// A plain service.
    Plain,
    /// Reads prompts and exports the KV cache.
    Prefill,
}

/// One upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamInfo {
    /// Between-token time at one running stream, seconds. Decode engines.
    pub decode_base_seconds: f64,
    /// Between-token time added by each further running stream, seconds. Decode engines.
    pub decode_slope_seconds: f64,
    /// How many streams the engine's memory holds. Decode engines.
    pub decode_places: u32,
    /// The model; none for plain services.
    pub model: Option<ModelId>,
    /// Prompt tokens read a second. Prefill engines.
    pub prefill_rate: f64,
    /// What it does.
    pub role: UpstreamRole,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its name.
    pub upstream: UpstreamId,
    /// Where it runs.
    pub zone: ZoneId,
}
