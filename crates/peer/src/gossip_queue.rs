//! Updates that are gossiped in a few heartbeats.

use std::{cmp::Reverse, collections::BTreeMap};

#[derive(Clone, Copy, Debug)]
struct GossipEntry {
    order: u64,
    rounds: u8,
}

/// Counts for each update in how many more heartbeats it is sent.
#[derive(Clone, Debug)]
pub struct GossipQueue<K> {
    entries: BTreeMap<K, GossipEntry>,
    pushed: u64,
    start: u8,
}

impl<K: Clone + Ord> GossipQueue<K> {
    /// Whether no update is pending.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Creates an empty queue; each update is sent in `start` heartbeats.
    pub fn new(start: u8) -> Self {
        Self {
            entries: BTreeMap::new(),
            pushed: 0,
            start,
        }
    }

    /// Adds an update, or restarts its count while keeping its position.
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

    /// Takes at most `limit` updates for the next heartbeat: the least sent first, then the oldest.
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
