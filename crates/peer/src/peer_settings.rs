//! Limits and timeouts of the links between instances.

use {
    bon::Builder,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// How large messages may be and how long the links wait.
#[serde_as]
#[derive(Builder, Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// The longest wait for a call's answer, milliseconds in settings.
    #[builder(default = Duration::from_millis(1_500))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub call_timeout: Duration,
    /// The longest wait for a connection, milliseconds in settings.
    #[builder(default = Duration::from_millis(1_500))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub connect_timeout: Duration,
    /// The largest frame of a session, bytes.
    #[builder(default = 1 << 20)]
    pub frame_limit: usize,
    /// A connection that is silent for so long is lost, milliseconds in settings.
    #[builder(default = Duration::from_millis(4_000))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
    /// How many messages of one tag may wait to be handled.
    #[builder(default = 1_024)]
    pub inbox_limit: usize,
    /// A connection without traffic sends a keep-alive this often, milliseconds in settings.
    #[builder(default = Duration::from_millis(1_300))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub keep_alive: Duration,
    /// A connection that this instance made and has not used for so long is given up, milliseconds in settings.
    #[builder(default = Duration::from_millis(12_000))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub link_idle: Duration,
    /// The largest message or request, bytes.
    #[builder(default = 1 << 18)]
    pub message_limit: usize,
    /// The largest answer to a call, bytes.
    #[builder(default = 1 << 23)]
    pub reply_limit: usize,
    /// How many calls and sessions one peer may have open at this instance.
    #[builder(default = 4_096)]
    pub stream_limit: u32,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
