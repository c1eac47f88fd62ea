//! Which engine holds which prompt prefix, as far as known.

use {
    kernel::{BlockHash, UpstreamId},
    std::collections::{BTreeMap, HashMap},
};

/// Up to this block of a prompt every block is looked at.
const DENSE_BLOCKS: usize = 16;
/// Beyond it, this many blocks for each doubling.
const OCTAVE_BLOCKS: usize = 8;

/// An approximate index of the prefix caches of engines, in bounded memory.
///
/// It is fed by what was sent to an engine and by the engine's cache events. Both may be wrong: events come late and
/// with gaps. A wrong entry costs a longer reading than predicted, nothing else. The least recently used blocks of an
/// engine go first. Long prompts are looked at in steps that grow with the position (an eighth of it), so that a
/// lookup costs the logarithm of the prompt's length.
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
    /// How many blocks are known of an engine.
    pub fn blocks(&self, upstream: &UpstreamId) -> usize {
        self.caches
            .get(upstream)
            .map_or(0, |cache| cache.by_hash.len())
    }

    /// The engine says that it dropped these blocks.
    pub fn evicted(&mut self, upstream: &UpstreamId, blocks: &[BlockHash]) {
        let Some(cache) = self.caches.get_mut(upstream) else {
            return;
        };
        for block in blocks {
            cache.remove(*block);
        }
    }

    /// Forgets an engine, for one that is gone or restarted.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.caches.remove(upstream);
    }

    /// How many leading blocks of a prompt the engine is thought to hold.
    ///
    /// The hashes are chained, so a block that is held tells that those before it were: the end is searched by halves.
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
        let held = positions.partition_point(|index| cache.by_hash.contains_key(&prefix[*index]));
        held.checked_sub(1).map_or(0, |last| positions[last] + 1)
    }

    /// A table that keeps at most `block_limit` blocks an engine.
    pub fn new(block_limit: usize) -> Self {
        Self {
            block_limit,
            caches: BTreeMap::new(),
            count: 0,
        }
    }

    /// A prompt was sent there: the engine will hold its blocks.
    pub fn sent(&mut self, upstream: &UpstreamId, prefix: &[BlockHash]) {
        let mut blocks: Vec<BlockHash> = Vec::new();
        for index in sampled_positions(prefix.len()) {
            blocks.push(prefix[index]);
        }
        // The first blocks are shared most: they are the youngest, so that a prompt loses its tail first.
        blocks.reverse();
        self.touch(upstream, &blocks);
    }

    /// The engine says that it keeps these blocks. Those that are known already get no younger: the event is late.
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

/// The positions of a prompt's blocks that are looked at, ascending; the last block is always among them.
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
