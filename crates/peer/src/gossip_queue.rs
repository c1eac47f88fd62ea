//! News that has to be passed on a few times.

use std::{cmp::Reverse, collections::BTreeMap};

#[derive(Clone, Copy, Debug)]
struct GossipEntry {
    order: u64,
    rounds: u8,
}

/// Counts for each piece of news in how many more heartbeats it goes.
#[derive(Clone, Debug)]
pub struct GossipQueue<K> {
    entries: BTreeMap<K, GossipEntry>,
    pushed: u64,
    start: u8,
}

impl<K: Clone + Ord> GossipQueue<K> {
    /// Whether there is news to pass on.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// An empty queue; each piece of news goes into `start` heartbeats.
    pub fn new(start: u8) -> Self {
        Self {
            entries: BTreeMap::new(),
            pushed: 0,
            start,
        }
    }

    /// Adds news, or starts it anew in the place that it has.
    pub fn push(&mut self, key: K) {
        self.pushed += 1;
        let order = self.pushed;
        let rounds = self.start;
        let entry = self
            .entries
            .entry(key)
            .or_insert(GossipEntry { order, rounds });
        entry.rounds = rounds;
    }

    /// What goes into the next heartbeat: what was passed on least, then what waits longest; at most `limit`.
    pub fn take(&mut self, limit: usize) -> Vec<K> {
        let mut keys: Vec<(Reverse<u8>, u64, K)> = self
            .entries
            .iter()
            .map(|(key, entry)| (Reverse(entry.rounds), entry.order, key.clone()))
            .collect();
        keys.sort();
        keys.truncate(limit);
        let mut taken = Vec::with_capacity(keys.len());
        for (Reverse(rounds), order, key) in keys {
            if rounds <= 1 {
                self.entries.remove(&key);
            } else {
                let rounds = rounds - 1;
                self.entries
                    .insert(key.clone(), GossipEntry { order, rounds });
            }
            taken.push(key);
        }
        taken
    }
}
