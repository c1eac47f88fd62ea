//! The static properties of an upstream.

use {
    kernel::{ModelId, ServiceId, UpstreamId, ZoneId},
    serde::{Deserialize, Serialize},
};

/// The role of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamRole {
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Serves a plain service.
    Plain,
    /// Prefills prompts and exports the KV cache.
    Prefill,
}

/// The properties of one upstream; those of another role than its own are unused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamInfo {
    /// Time between tokens with a single running stream, seconds. Decode engines only.
    pub decode_base_seconds: f64,
    /// Increase of the time between tokens per additional running stream, seconds. Decode engines only.
    pub decode_slope_seconds: f64,
    /// How many streams fit into the memory of the engine. Decode engines only.
    pub decode_places: u32,
    /// The model it serves; `None` for plain services.
    pub model: Option<ModelId>,
    /// Prompt tokens prefilled per second. Prefill engines only.
    pub prefill_rate: f64,
    /// Its role.
    pub role: UpstreamRole,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Its id.
    pub upstream: UpstreamId,
    /// Its availability zone.
    pub zone: ZoneId,
}
