//! News that has to be passed on a few times.

use std::{cmp::Reverse, collections::BTreeMap};

/// Counts for each piece of news in how many more heartbeats it goes.
#[derive(Clone, Debug)]
pub struct RumourQueue<K> {
    rounds: BTreeMap<K, u8>,
    start: u8,
}

impl<K: Clone + Ord> RumourQueue<K> {
    /// Whether there is news to pass on.
    pub fn is_empty(&self) -> bool {
        self.rounds.is_empty()
    }

    /// An empty queue; each piece of news goes into `start` heartbeats.
    pub fn new(start: u8) -> Self {
        Self {
            rounds: BTreeMap::new(),
            start,
        }
    }

    /// Adds news, or starts it anew.
    pub fn push(&mut self, key: K) {
        self.rounds.insert(key, self.start);
    }

    /// What goes into the next heartbeat: what was passed on least, at most `limit`.
    pub fn take(&mut self, limit: usize) -> Vec<K> {
        let mut keys: Vec<(Reverse<u8>, K)> = self
            .rounds
            .iter()
            .map(|(key, rounds)| (Reverse(*rounds), key.clone()))
            .collect();
        keys.sort();
        keys.truncate(limit);
        let mut taken = Vec::with_capacity(keys.len());
        for (Reverse(rounds), key) in keys {
            if rounds <= 1 {
                self.rounds.remove(&key);
            } else {
                self.rounds.insert(key.clone(), rounds - 1);
            }
            taken.push(key);
        }
        taken
    }
}
