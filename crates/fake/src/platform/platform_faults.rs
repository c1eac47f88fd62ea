//! What is wrong with the platform.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// The platform's faults; all are off by default, and a new set takes the place of the old one whole.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call waits this long before it takes effect; a caller that leaves meanwhile undoes the call.
    #[serde(rename = "delay_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay: Duration,
    /// Connections are closed at once, open ones too.
    pub down: bool,
    /// The list of instances answers 503.
    pub list_down: bool,
    /// The list of instances shows what was true this long ago; in place of the setting.
    #[serde(rename = "list_lag_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub list_lag: Option<Duration>,
    /// So many further writes take effect, and their connection is closed without an answer.
    pub lose_next_replies: u64,
    /// Each write takes effect and loses its reply with this probability, 0 to 1.
    pub lose_reply_probability: f64,
    /// Every reply waits this long after its call took effect.
    #[serde(rename = "reply_delay_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub reply_delay: Duration,
}
