//! What one instance tells others about the rate limit of an upstream.

use {
    crate::CallRate,
    kernel::{UpstreamId, ZoneId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The newest statement of an upstream. Of two notes on an upstream the younger one counts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateNote {
    /// How long ago the upstream stated it. The clocks of instances differ, so ages are exchanged instead of timestamps.
    pub age: Duration,
    /// The limit; `None` when it was lifted.
    pub rate: Option<CallRate>,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The availability zone of the upstream.
    pub zone: ZoneId,
}
