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
}

impl OpenKeys {
    /// Takes a request out.
    pub fn close(&mut self, key: &RequestKey) {
        self.keys.remove(key);
    }

    /// Takes the requests of ended lives of an entry instance out.
    pub fn close_lives(&mut self, instance: &InstanceId, before: Incarnation) {
        self.keys
            .retain(|key| key.instance != *instance || key.incarnation >= before);
    }

    /// The open requests of an instance that it does not hold any more, by the serials that it does hold.
    pub fn missing(&self, instance: &InstanceId, held: &BTreeSet<u64>) -> Vec<RequestKey> {
        let open = self.keys.iter().filter(|key| key.instance == *instance);
        open.filter(|key| !held.contains(&key.serial))
            .cloned()
            .collect()
    }

    /// Follows an event on its way to the allocator.
    pub fn note(&mut self, event: &AdmitEvent) {
        match event {
            AdmitEvent::Announce { request, .. } | AdmitEvent::Submit(request) => {
                self.keys.insert(request.key.clone());
            }
            AdmitEvent::Cancel { key } | AdmitEvent::Finished { key, .. } => self.close(key),
            AdmitEvent::HolderGone { before, instance } => self.close_lives(instance, *before),
            _ => {}
        }
    }
}
