//! Faults that can be injected into the platform.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// Injected faults of the platform. All are off by default; a new set replaces the old one completely.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Delay before each call takes effect; a call whose caller disconnects in the meantime has no effect.
    #[serde(rename = "delay_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay: Duration,
    /// Closes all open and new connections.
    pub down: bool,
    /// Responds to reads of the instance list with 503.
    pub list_down: bool,
    /// Lag of the instance list; `None` uses the lag from the settings.
    #[serde(rename = "list_lag_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub list_lag: Option<Duration>,
    /// Number of next writes that take effect but lose their reply: the connection is closed without a response.
    pub lose_next_replies: u64,
    /// Probability that a write takes effect but loses its reply, 0 to 1.
    pub lose_reply_probability: f64,
    /// Delay of each reply after its call took effect.
    #[serde(rename = "reply_delay_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub reply_delay: Duration,
}
