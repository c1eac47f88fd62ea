//! LRU cache of prompt blocks.

use {
    kernel::BlockHash,
    std::collections::{BTreeMap, HashMap},
};

/// Prompt blocks with least-recently-used eviction.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    by_age: BTreeMap<u64, BlockHash>,
    capacity: usize,
    clock: u64,
    stamps: HashMap<BlockHash, u64>,
}

/// Blocks added and evicted by one store operation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct CacheChange {
    pub(super) evicted: Vec<BlockHash>,
    pub(super) stored: Vec<BlockHash>,
}

impl PrefixCache {
    /// Number of leading blocks that are cached.
    pub(super) fn cached_blocks(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.stamps.contains_key(block))
            .count()
    }

    /// Creates an empty cache that holds `capacity` blocks.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Stores a prompt's blocks. The first block becomes the most recently used, so that tails are evicted first.
    pub(super) fn store(&mut self, blocks: &[BlockHash]) -> CacheChange {
        let mut change = CacheChange::default();
        for block in blocks.iter().rev() {
            if self.touch(*block) {
                change.stored.push(*block);
            }
        }
        while self.stamps.len() > self.capacity {
            let Some((_, block)) = self.by_age.pop_first() else {
                break;
            };
            self.stamps.remove(&block);
            change.evicted.push(block);
        }
        change
            .stored
            .retain(|block| self.stamps.contains_key(block));
        change.stored.reverse();
        change
    }

    /// Marks a block as most recently used; returns `true` if it was not cached.
    fn touch(&mut self, block: BlockHash) -> bool {
        self.clock += 1;
        self.by_age.insert(self.clock, block);
        let Some(old) = self.stamps.insert(block, self.clock) else {
            return true;
        };
        self.by_age.remove(&old);
        false
    }
}
