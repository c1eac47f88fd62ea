//! Places that ended lately.

use {
    crate::PlaceKey,
    std::collections::{BTreeMap, VecDeque},
};

/// The number of ended places that are remembered.
const CAPACITY: usize = 4_096;

/// Remembers ended places, so that a late or repeated report does not bring one back.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndedPlaces {
    /// The serial number of each end.
    keys: BTreeMap<PlaceKey, u64>,
    /// The oldest end first; the ends of places that were granted again stay in it.
    order: VecDeque<(u64, PlaceKey)>,
    serial: u64,
}

impl EndedPlaces {
    pub(crate) fn contains(&self, key: &PlaceKey) -> bool {
        self.keys.contains_key(key)
    }

    /// The number of ends that are remembered, with those of places that were granted again.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    pub(crate) fn insert(&mut self, key: PlaceKey) {
        if self.keys.contains_key(&key) {
            return;
        }
        self.serial += 1;
        self.keys.insert(key.clone(), self.serial);
        self.order.push_back((self.serial, key));
        if self.order.len() <= CAPACITY {
            return;
        }
        let Some((serial, oldest)) = self.order.pop_front() else {
            return;
        };
        if self.keys.get(&oldest) == Some(&serial) {
            self.keys.remove(&oldest);
        }
    }

    /// Forgets the end of a place that is granted again.
    pub(crate) fn remove(&mut self, key: &PlaceKey) {
        self.keys.remove(key);
    }
}
