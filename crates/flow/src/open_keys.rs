//! The requests that an allocator was told of and that are not over: what a lost session may have left behind.

use {
    admit::{AdmitEvent, RequestKey},
    kernel::{Incarnation, InstanceId},
    std::collections::BTreeSet,
};

/// The open requests of one cell.
#[derive(Debug, Default)]
pub struct OpenKeys {
    keys: BTreeSet<RequestKey>,
    /// Those that a new session has to tell anew and has not told yet.
    unconfirmed: BTreeSet<RequestKey>,
}

impl OpenKeys {
    /// Takes a request out.
    pub fn close(&mut self, key: &RequestKey) {
        self.keys.remove(key);
        self.unconfirmed.remove(key);
    }

    /// Takes the requests of ended lives of an entry instance out.
    pub fn close_incarnations(&mut self, instance: &InstanceId, before: Incarnation) {
        let goes_on = |key: &RequestKey| key.instance != *instance || key.incarnation >= before;
        self.keys.retain(goes_on);
        self.unconfirmed.retain(goes_on);
    }

    /// A session of an instance begins that holds these serials. Gives the open requests that it does not hold any more;
    /// the others are to be told anew.
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

    /// Follows an event on its way to the allocator.
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

    /// Makes what a new session tells first of an open request take the place of what was known of it.
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
