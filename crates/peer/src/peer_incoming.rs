//! Incoming messages, calls and sessions.

use {
    crate::{
        peer_identity::PeerIdentity, session_receiver::SessionReceiver,
        session_sender::SessionSender,
    },
    bytes::Bytes,
    tokio::sync::oneshot,
};

/// Sends the answer to one call. Dropping it refuses the call.
#[derive(Debug)]
pub struct CallReply {
    sender: oneshot::Sender<Bytes>,
}

impl CallReply {
    /// Creates a reply and the receiver of its answer.
    pub fn pair() -> (Self, oneshot::Receiver<Bytes>) {
        let (sender, receiver) = oneshot::channel();
        (Self { sender }, receiver)
    }

    /// Sends the answer; it is discarded if the caller has given up.
    pub fn send(self, body: Bytes) {
        let _ = self.sender.send(body);
    }
}

/// An incoming message, call or session with a registered tag.
#[derive(Debug)]
pub enum PeerIncoming {
    /// A call that expects an answer.
    Call {
        /// The request.
        body: Bytes,
        /// The caller.
        from: PeerIdentity,
        /// Sends the answer.
        reply: CallReply,
    },
    /// A best-effort message.
    Message {
        /// The message.
        body: Bytes,
        /// The sender.
        from: PeerIdentity,
    },
    /// A session that a peer opened.
    Session {
        /// The peer.
        from: PeerIdentity,
        /// Receives frames from the peer.
        receiver: SessionReceiver,
        /// Sends frames to the peer.
        sender: SessionSender,
    },
}
