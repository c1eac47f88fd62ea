//! An approximate index of the prompt prefixes cached by engines.

use {
    kernel::{BlockHash, UpstreamId},
    std::collections::{BTreeMap, HashMap},
};

/// Every block of a prompt before this one is indexed.
const DENSE_BLOCKS: usize = 16;
/// Beyond it, this many blocks are indexed per doubling of the position.
const OCTAVE_BLOCKS: usize = 8;

/// An approximate index of the prefix caches of engines, in bounded memory.
///
/// It is updated from the prompts sent to an engine and from its cache events. Both may be wrong, since events arrive
/// late and with gaps. A wrong entry only makes a prefill take longer than predicted. The least recently used blocks of
/// an engine are evicted first. Long prompts are sampled in steps that grow with the position (an eighth of it), so
/// that the cost of a lookup is logarithmic in the length of the prompt.
#[derive(Clone, Debug)]
pub struct PrefixTable {
    block_limit: usize,
    caches: BTreeMap<UpstreamId, BlockCache>,
    count: u64,
}

#[derive(Clone, Debug, Default)]
struct BlockCache {
    by_age: BTreeMap<u64, BlockHash>,
    by_hash: HashMap<BlockHash, u64>,
}

impl BlockCache {
    fn remove(&mut self, block: BlockHash) {
        if let Some(age) = self.by_hash.remove(&block) {
            self.by_age.remove(&age);
        }
    }

    fn touch(&mut self, block: BlockHash, age: u64) {
        if let Some(old) = self.by_hash.insert(block, age) {
            self.by_age.remove(&old);
        }
        self.by_age.insert(age, block);
    }

    fn trim(&mut self, limit: usize) {
        while self.by_hash.len() > limit {
            let Some((_, block)) = self.by_age.pop_first() else {
                return;
            };
            self.by_hash.remove(&block);
        }
    }
}

impl PrefixTable {
    /// The number of blocks indexed for an engine.
    pub fn blocks(&self, upstream: &UpstreamId) -> usize {
        self.caches
            .get(upstream)
            .map_or(0, |cache| cache.by_hash.len())
    }

    /// Records that the engine reported these blocks as evicted.
    pub fn evicted(&mut self, upstream: &UpstreamId, blocks: &[BlockHash]) {
        let Some(cache) = self.caches.get_mut(upstream) else {
            return;
        };
        for block in blocks {
            cache.remove(*block);
        }
    }

    /// Removes an engine that is gone or has restarted.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.caches.remove(upstream);
    }

    /// How many leading blocks of a prompt the engine has cached, as far as known.
    ///
    /// The hashes are chained, so a cached block implies that all blocks before it were cached. This allows a binary
    /// search for the last one.
    pub fn matched(&self, upstream: &UpstreamId, prefix: &[BlockHash]) -> usize {
        let Some(cache) = self.caches.get(upstream) else {
            return 0;
        };
        let Some(first) = prefix.first() else {
            return 0;
        };
        if !cache.by_hash.contains_key(first) {
            return 0;
        }
        let positions: Vec<usize> = sampled_positions(prefix.len()).collect();
        let cached = positions.partition_point(|index| cache.by_hash.contains_key(&prefix[*index]));
        cached.checked_sub(1).map_or(0, |last| positions[last] + 1)
    }

    /// Creates a table of at most `block_limit` blocks per engine.
    pub fn new(block_limit: usize) -> Self {
        Self {
            block_limit,
            caches: BTreeMap::new(),
            count: 0,
        }
    }

    /// Records that a prompt was sent to the engine, which will cache its blocks.
    pub fn sent(&mut self, upstream: &UpstreamId, prefix: &[BlockHash]) {
        let mut blocks: Vec<BlockHash> = Vec::new();
        for index in sampled_positions(prefix.len()) {
            blocks.push(prefix[index]);
        }
        // The first blocks are shared most. They are marked as the most recent, so that a prompt loses its tail first.
        blocks.reverse();
        self.touch(upstream, &blocks);
    }

    /// Records that the engine reported these blocks as cached. Blocks already known keep their age, since the event is
    /// late.
    pub fn stored(&mut self, upstream: &UpstreamId, blocks: &[BlockHash]) {
        let mut fresh = blocks.to_vec();
        if let Some(cache) = self.caches.get(upstream) {
            fresh.retain(|block| !cache.by_hash.contains_key(block));
        }
        self.touch(upstream, &fresh);
    }

    fn touch(&mut self, upstream: &UpstreamId, blocks: &[BlockHash]) {
        if !self.caches.contains_key(upstream) {
            self.caches.insert(upstream.clone(), BlockCache::default());
        }
        let Some(cache) = self.caches.get_mut(upstream) else {
            return;
        };
        for block in blocks {
            self.count += 1;
            cache.touch(*block, self.count);
        }
        cache.trim(self.block_limit);
    }
}

/// The positions of the indexed blocks of a prompt, ascending; the last block is always included.
fn sampled_positions(length: usize) -> impl Iterator<Item = usize> {
    let mut next = 0;
    std::iter::from_fn(move || {
        if next >= length {
            return None;
        }
        let index = next;
        next = index + step_after(index);
        if index + 1 < length && next >= length {
            next = length - 1;
        }
        Some(index)
    })
}

fn step_after(index: usize) -> usize {
    if index < DENSE_BLOCKS {
        return 1;
    }
    let octave = (index + 1).ilog2();
    ((1 << octave) / OCTAVE_BLOCKS).max(1)
}
