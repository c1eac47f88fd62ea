//! Recently ended requests.

use {
    crate::request_key::RequestKey,
    std::collections::{BTreeSet, VecDeque},
};

/// The number of ended requests that are remembered.
const CAPACITY: usize = 4096;

/// Remembers recently ended requests, so that a late or duplicate event does not start them again.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndedKeys {
    keys: BTreeSet<RequestKey>,
    order: VecDeque<RequestKey>,
}

impl EndedKeys {
    pub(crate) fn contains(&self, key: &RequestKey) -> bool {
        self.keys.contains(key)
    }

    pub(crate) fn insert(&mut self, key: RequestKey) {
        if !self.keys.insert(key.clone()) {
            return;
        }
        self.order.push_back(key);
        if self.order.len() <= CAPACITY {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.keys.remove(&oldest);
        }
    }
}
