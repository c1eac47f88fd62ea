//! Limits and timeouts of the links between instances.

use {
    bon::Builder,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// Size limits and timeouts of the links.
#[serde_as]
#[derive(Builder, Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// How long a call waits for its answer. Milliseconds in settings.
    #[builder(default = Duration::from_millis(1_500))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub call_timeout: Duration,
    /// How long a connection attempt may take. Milliseconds in settings.
    #[builder(default = Duration::from_millis(1_500))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub connect_timeout: Duration,
    /// The best-effort messages that a connection keeps until they are sent or read, in bytes each way.
    #[builder(default = 1 << 16)]
    pub datagram_buffer: usize,
    /// The maximum size of a session frame, in bytes.
    #[builder(default = 1 << 20)]
    pub frame_limit: usize,
    /// After how long without traffic a connection is lost. Milliseconds in settings.
    #[builder(default = Duration::from_millis(4_000))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub idle_timeout: Duration,
    /// The maximum number of queued messages per tag.
    #[builder(default = 1_024)]
    pub inbox_limit: usize,
    /// The keep-alive interval of a connection without traffic. Milliseconds in settings.
    #[builder(default = Duration::from_millis(1_300))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub keep_alive: Duration,
    /// After how long without use an outgoing connection is dropped. Milliseconds in settings.
    #[builder(default = Duration::from_millis(12_000))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub link_idle: Duration,
    /// What a peer may send over a connection before it is read, in bytes, without what its sessions may. Calls and messages
    /// are read as they arrive.
    #[builder(default = 1 << 20)]
    pub link_window: u32,
    /// The maximum size of a message or request, in bytes.
    #[builder(default = 1 << 18)]
    pub message_limit: usize,
    /// The maximum number of concurrent messages larger than a packet that a peer may have open over its connection.
    #[builder(default = 16)]
    pub message_streams: u32,
    /// The maximum size of an answer to a call, in bytes.
    #[builder(default = 1 << 23)]
    pub reply_limit: usize,
    /// What the sessions of all connections together may receive before it is read, in bytes. Those beyond it are declined.
    #[builder(default = 1 << 26)]
    pub session_memory: usize,
    /// The maximum number of concurrent calls and sessions that a peer may have open over its connection. Each end keeps
    /// tables for all of them from the start.
    #[builder(default = 256)]
    pub stream_limit: u32,
    /// How long a call or session waits while its connection has as many as the peer allows. Milliseconds in settings.
    #[builder(default = Duration::from_millis(50))]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub stream_wait: Duration,
    /// What a peer may send over a stream before it is read, in bytes.
    #[builder(default = 1 << 16)]
    pub stream_window: u32,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
