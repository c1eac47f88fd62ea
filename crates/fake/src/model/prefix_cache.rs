//! Blocks of prompts that an engine keeps, the least recently used one going first.

use {
    kernel::BlockHash,
    std::collections::{BTreeMap, HashMap},
};

/// A limited number of blocks.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    by_age: BTreeMap<u64, BlockHash>,
    capacity: usize,
    clock: u64,
    stamps: HashMap<BlockHash, u64>,
}

/// What came and went when a prompt's blocks were kept.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct CacheChange {
    pub(super) evicted: Vec<BlockHash>,
    pub(super) stored: Vec<BlockHash>,
}

impl PrefixCache {
    /// How many leading blocks are there.
    pub(super) fn cached_blocks(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.stamps.contains_key(block))
            .count()
    }

    /// An empty cache of so many blocks.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Keeps a prompt's blocks; the first block becomes the most recently used one, so that tails go first.
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

    /// Makes a block the most recently used one; `true` if it was not there.
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
