//! The errors of messages between instances.

use {kernel::InstanceId, snafu::Snafu, std::net::SocketAddr};

/// An error of the links between instances.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PeerError {
    /// The local UDP address can't be bound.
    #[snafu(display("the peer address {address} can't be bound: {source}"))]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The connection has as many calls and sessions as the peer allows, or this instance has no room for another session;
    /// nothing was sent.
    #[snafu(display("the connection to peer `{instance}` has too many calls and sessions"))]
    Busy {
        /// The peer.
        instance: InstanceId,
    },
    /// The endpoint is closing.
    #[snafu(display("the peer endpoint is closing"))]
    Closing,
    /// No connection could be made.
    #[snafu(display("cannot connect to peer `{instance}`: {detail}"))]
    Connect {
        /// The transport's error.
        detail: String,
        /// The peer.
        instance: InstanceId,
    },
    /// The peer has no room for the session; nothing of it was handled.
    #[snafu(display("the peer has no room for the session"))]
    Declined,
    /// A message can't be read.
    #[snafu(display("a peer's message can't be read: {detail}"))]
    Garbled {
        /// Why decoding failed.
        detail: String,
    },
    /// The keys or certificates can't be used.
    #[snafu(display("the peer keys can't be used: {detail}"))]
    Keys {
        /// Why they were rejected.
        detail: String,
    },
    /// The connection was lost; sent data may have arrived.
    #[snafu(display("the connection to peer `{instance}` was lost: {detail}"))]
    Lost {
        /// The transport's error.
        detail: String,
        /// The peer.
        instance: InstanceId,
    },
    /// The sender's name is not the one in its certificate.
    #[snafu(display("a peer claims the name `{claimed}`, which its certificate does not contain"))]
    NameMismatch {
        /// The name in the message.
        claimed: InstanceId,
    },
    /// The peer refused the call: it has no handler for the tag, or its inbox is full.
    #[snafu(display("peer `{instance}` refused the call with tag {tag}"))]
    Refused {
        /// The peer.
        instance: InstanceId,
        /// The tag of the call.
        tag: u16,
    },
    /// No answer came in time; the call may have been handled.
    #[snafu(display("peer `{instance}` did not answer in time"))]
    Timeout {
        /// The peer.
        instance: InstanceId,
    },
    /// A message is over the size limit.
    #[snafu(display("a message of {size} bytes is over the limit of {limit}"))]
    TooLarge {
        /// The limit, bytes.
        limit: usize,
        /// The size, bytes.
        size: usize,
    },
    /// The address table has no entry for the peer.
    #[snafu(display("peer `{instance}` has no address"))]
    UnknownPeer {
        /// The peer.
        instance: InstanceId,
    },
    /// A message has a wire version that this release does not support.
    #[snafu(display("a peer uses wire version {version}; this instance uses {ours}"))]
    WireVersion {
        /// The version of this release.
        ours: u16,
        /// The version in the message.
        version: u16,
    },
}

impl PeerError {
    /// Whether the connection works and only has too many calls: there is no reason to give it up.
    pub fn is_busy(&self) -> bool {
        matches!(self, Self::Busy { .. })
    }
}
