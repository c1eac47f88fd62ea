//! Why a message between instances failed.

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
        /// What the system said.
        source: std::io::Error,
    },
    /// The endpoint is closing.
    #[snafu(display("the peer endpoint is closing"))]
    Closing,
    /// No connection could be made.
    #[snafu(display("peer `{instance}` can't be connected: {detail}"))]
    Connect {
        /// What the connection said.
        detail: String,
        /// The peer.
        instance: InstanceId,
    },
    /// A message can't be read.
    #[snafu(display("a peer's message can't be read: {detail}"))]
    Garbled {
        /// What was wrong with it.
        detail: String,
    },
    /// The keys or certificates can't be used.
    #[snafu(display("the peer keys can't be used: {detail}"))]
    Keys {
        /// What was wrong with them.
        detail: String,
    },
    /// The connection was lost; what was sent may have arrived.
    #[snafu(display("the connection to peer `{instance}` was lost: {detail}"))]
    Lost {
        /// What the connection said.
        detail: String,
        /// The peer.
        instance: InstanceId,
    },
    /// The sender's name is not the one in its certificate.
    #[snafu(display("a peer calls itself `{claimed}`, which its certificate does not name"))]
    NameMismatch {
        /// The name in the message.
        claimed: InstanceId,
    },
    /// The peer refused the call: nothing there takes the tag, or too many calls wait.
    #[snafu(display("peer `{instance}` refused the call with tag {tag}"))]
    Refused {
        /// The peer.
        instance: InstanceId,
        /// The tag of the call.
        tag: u16,
    },
    /// No answer came in time; the call may have been handled.
    #[snafu(display("peer `{instance}` gave no answer in time"))]
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
    /// The book has no address for the peer.
    #[snafu(display("peer `{instance}` has no address"))]
    UnknownPeer {
        /// The peer.
        instance: InstanceId,
    },
    /// A message has a wire version that this release does not speak.
    #[snafu(display("a peer speaks wire version {version}; this instance speaks {ours}"))]
    WireVersion {
        /// The version of this release.
        ours: u16,
        /// The version in the message.
        version: u16,
    },
}
