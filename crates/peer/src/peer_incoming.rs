//! What comes in from peers.

use {
    crate::{
        peer_identity::PeerIdentity, session_receiver::SessionReceiver,
        session_sender::SessionSender,
    },
    bytes::Bytes,
    tokio::sync::oneshot,
};

/// Answers one call. Dropping it refuses the call.
#[derive(Debug)]
pub struct CallReply {
    sender: oneshot::Sender<Bytes>,
}

impl CallReply {
    /// The two ends of an answer.
    pub fn pair() -> (Self, oneshot::Receiver<Bytes>) {
        let (sender, receiver) = oneshot::channel();
        (Self { sender }, receiver)
    }

    /// Sends the answer; a caller that is gone gets nothing.
    pub fn send(self, body: Bytes) {
        let _ = self.sender.send(body);
    }
}

/// One thing that a peer sent to a tag that this instance takes.
#[derive(Debug)]
pub enum PeerIncoming {
    /// A call that waits for an answer.
    Call {
        /// The request.
        body: Bytes,
        /// The caller.
        from: PeerIdentity,
        /// Where the answer goes.
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
        /// Frames from the peer.
        receiver: SessionReceiver,
        /// Frames to the peer.
        sender: SessionSender,
    },
}
