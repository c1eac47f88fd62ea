//! Routes incoming messages by tag.

use {
    crate::{ProtocolTag, peer_incoming::PeerIncoming},
    std::{
        collections::BTreeMap,
        sync::{Arc, RwLock},
    },
    tokio::sync::mpsc,
};

/// Why an incoming message could not be dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteFailure {
    /// The inbox of the tag is full.
    Full,
    /// No handler is registered for the tag.
    Missing,
}

/// Dispatches incoming messages to the inbox registered for their tag. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct PeerRouter {
    inboxes: Arc<RwLock<BTreeMap<ProtocolTag, mpsc::Sender<PeerIncoming>>>>,
}

impl PeerRouter {
    /// Dispatches one message without waiting.
    ///
    /// # Errors
    ///
    /// When no handler is registered for the tag, or its inbox is full.
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

    /// Registers the inbox of a tag, replacing an earlier one; it holds at most `limit` messages.
    pub fn register(&self, tag: ProtocolTag, limit: usize) -> mpsc::Receiver<PeerIncoming> {
        let (sender, receiver) = mpsc::channel(limit);
        let mut inboxes = self
            .inboxes
            .write()
            .unwrap_or_else(|poison| poison.into_inner());
        inboxes.insert(tag, sender);
        receiver
    }

    /// The number of messages, calls and sessions that wait to be taken.
    pub fn queued(&self) -> usize {
        let inboxes = self
            .inboxes
            .read()
            .unwrap_or_else(|poison| poison.into_inner());
        let queued = inboxes
            .values()
            .map(|inbox| inbox.max_capacity() - inbox.capacity());
        queued.sum()
    }

    fn inbox(&self, tag: ProtocolTag) -> Option<mpsc::Sender<PeerIncoming>> {
        let inboxes = self
            .inboxes
            .read()
            .unwrap_or_else(|poison| poison.into_inner());
        inboxes.get(&tag).cloned()
    }
}
