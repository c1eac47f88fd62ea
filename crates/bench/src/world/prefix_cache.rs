//! A prefill engine's prefix cache.

use {
    kernel::BlockHash,
    std::collections::{BTreeMap, HashMap},
};

/// Blocks of prompts, the least recently used evicted first. The map by hash is never iterated.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    by_age: BTreeMap<u64, BlockHash>,
    by_hash: HashMap<BlockHash, u64>,
    capacity: usize,
    touched: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            by_age: BTreeMap::new(),
            by_hash: HashMap::new(),
            capacity,
            touched: 0,
        }
    }

    pub(crate) fn clear(&mut self) {
        self.by_age.clear();
        self.by_hash.clear();
    }

    /// How many leading blocks of a prompt are kept.
    pub(crate) fn matching(&self, prefix: &[BlockHash]) -> usize {
        let mut count = 0;
        for hash in prefix {
            if !self.by_hash.contains_key(hash) {
                break;
            }
            count += 1;
        }
        count
    }

    /// Keeps a prompt's blocks; gives those newly kept and those evicted.
    pub(crate) fn store(&mut self, prefix: &[BlockHash]) -> (Vec<BlockHash>, Vec<BlockHash>) {
        let mut stored = Vec::new();
        // The last block first: of one prompt the tail is evicted before the head.
        for hash in prefix.iter().rev() {
            if !self.touch(*hash) {
                stored.push(*hash);
            }
        }
        stored.reverse();
        (stored, self.shrink())
    }

    fn shrink(&mut self) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        while self.by_age.len() > self.capacity {
            let Some((_, hash)) = self.by_age.pop_first() else {
                break;
            };
            self.by_hash.remove(&hash);
            evicted.push(hash);
        }
        evicted
    }

    fn touch(&mut self, hash: BlockHash) -> bool {
        self.touched += 1;
        let earlier = self.by_hash.insert(hash, self.touched);
        self.by_age.insert(self.touched, hash);
        if let Some(age) = earlier {
            self.by_age.remove(&age);
        }
        earlier.is_some()
    }
}
