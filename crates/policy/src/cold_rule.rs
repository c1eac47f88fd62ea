//! How the upstreams of a service may be used while they are cold.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The share of the call rate that instances use, so that turns which fall close together stay within it.
const SAFE_SHARE: f64 = 0.7;
/// Bounds of the period, for any rate that operators declare.
const PERIOD_BOUNDS: (f64, f64) = (1e-3, 86_400.0);

/// What a cold upstream tolerates. An upstream is cold after its start, and whenever it says so.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdRule {
    /// Calls per second from all instances together; greater than 0.
    pub call_rate: f64,
    /// How long an upstream stays cold after its start.
    pub duration: Duration,
}

impl ColdRule {
    /// The period in which each of `instances` may make one call to a cold upstream.
    pub fn period(&self, instances: usize) -> Duration {
        let (min, max) = PERIOD_BOUNDS;
        let seconds = instances.max(1) as f64 / (self.call_rate * SAFE_SHARE);
        Duration::from_secs_f64(seconds.clamp(min, max))
    }
}
