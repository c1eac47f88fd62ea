//! The requests that an allocator knows and that have not ended. Used to find what a broken session left behind.

use {
    admit::{AdmitEvent, RequestKey},
    kernel::{Incarnation, InstanceId},
    std::collections::BTreeSet,
};

/// The open requests of one cell.
#[derive(Debug, Default)]
pub struct OpenKeys {
    keys: BTreeSet<RequestKey>,
    /// Requests that a new session holds and has not announced yet.
    unconfirmed: BTreeSet<RequestKey>,
}

impl OpenKeys {
    /// Removes a request.
    pub fn close(&mut self, key: &RequestKey) {
        self.keys.remove(key);
        self.unconfirmed.remove(key);
    }

    /// Removes the requests of an entry instance's earlier incarnations.
    pub fn close_incarnations(&mut self, instance: &InstanceId, before: Incarnation) {
        let is_open = |key: &RequestKey| key.instance != *instance || key.incarnation >= before;
        self.keys.retain(is_open);
        self.unconfirmed.retain(is_open);
    }

    /// Starts a new session of an instance that holds these serial numbers. Returns the open requests that the instance
    /// no longer holds; the others are expected to be announced again.
    pub fn begin_session(
        &mut self,
        instance: &InstanceId,
        held: &BTreeSet<u64>,
    ) -> Vec<RequestKey> {
        let mut missing = Vec::new();
        for key in self.keys.iter().filter(|key| key.instance == *instance) {
            if held.contains(&key.serial) {
                self.unconfirmed.insert(key.clone());
                continue;
            }
            missing.push(key.clone());
        }
        missing
    }

    /// Updates the open requests from an event on its way to the allocator.
    pub fn track(&mut self, event: &AdmitEvent) {
        match event {
            AdmitEvent::Announce { request, .. }
            | AdmitEvent::Reconcile { request, .. }
            | AdmitEvent::Submit(request) => {
                self.keys.insert(request.key.clone());
            }
            AdmitEvent::Cancel { key } | AdmitEvent::Finished { key, .. } => self.close(key),
            AdmitEvent::HolderGone { before, instance } => {
                self.close_incarnations(instance, *before)
            }
            _ => {}
        }
    }

    /// Turns the first announcement of an open request in a new session into [`AdmitEvent::Reconcile`], which replaces
    /// the allocator's state.
    pub fn reconcile(&mut self, event: AdmitEvent) -> AdmitEvent {
        match event {
            AdmitEvent::Announce { phase, request } if self.unconfirmed.remove(&request.key) => {
                AdmitEvent::Reconcile {
                    phase: Some(phase),
                    request,
                }
            }
            AdmitEvent::Submit(request) if self.unconfirmed.remove(&request.key) => {
                AdmitEvent::Reconcile {
                    phase: None,
                    request,
                }
            }
            event => event,
        }
    }
}
