//! Who takes which tag.

use {
    crate::{ProtocolTag, peer_incoming::PeerIncoming},
    std::{
        collections::BTreeMap,
        sync::{Arc, RwLock},
    },
    tokio::sync::mpsc,
};

/// Why an incoming message found no taker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteFailure {
    /// Too many messages of the tag wait.
    Full,
    /// Nothing takes the tag.
    Missing,
}

/// Hands incoming messages to the part of the system that registered their tag. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct PeerRouter {
    inboxes: Arc<RwLock<BTreeMap<ProtocolTag, mpsc::Sender<PeerIncoming>>>>,
}

impl PeerRouter {
    /// Hands over one message.
    ///
    /// # Errors
    ///
    /// When nothing takes the tag, or too many wait.
    pub fn dispatch(&self, tag: ProtocolTag, incoming: PeerIncoming) -> Result<(), RouteFailure> {
        let Some(inbox) = self.inbox(tag) else {
            return Err(RouteFailure::Missing);
        };
        match inbox.try_send(incoming) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(RouteFailure::Missing),
            Err(mpsc::error::TrySendError::Full(_)) => Err(RouteFailure::Full),
        }
    }

    /// Registers the taker of a tag, in place of an earlier one; at most `limit` messages wait.
    pub fn register(&self, tag: ProtocolTag, limit: usize) -> mpsc::Receiver<PeerIncoming> {
        let (sender, receiver) = mpsc::channel(limit);
        let mut inboxes = self
            .inboxes
            .write()
            .unwrap_or_else(|poison| poison.into_inner());
        inboxes.insert(tag, sender);
        receiver
    }

    fn inbox(&self, tag: ProtocolTag) -> Option<mpsc::Sender<PeerIncoming>> {
        let inboxes = self
            .inboxes
            .read()
            .unwrap_or_else(|poison| poison.into_inner());
        inboxes.get(&tag).cloned()
    }
}
