//! Makes the allocators of cells, and tells each its share of the rows' limits.

use {
    admit::CellAllocator,
    flow::{PolicyMaker, UpstreamBoard},
    kernel::{ModelId, ZoneId},
    plat::InstanceKind,
    std::{collections::BTreeSet, sync::Arc},
};

/// Makes allocators that draw from a seed.
pub struct AllocatorMaker {
    board: Arc<UpstreamBoard>,
    seed: u64,
}

impl AllocatorMaker {
    /// A maker whose allocators draw from `seed`.
    pub fn new(board: Arc<UpstreamBoard>, seed: u64) -> Self {
        Self { board, seed }
    }
}

impl PolicyMaker for AllocatorMaker {
    type Policy = CellAllocator;

    fn make(&self, _: &ModelId) -> CellAllocator {
        CellAllocator::builder().seed(self.seed).build()
    }

    /// One availability zone's part: the zones are those in which the list names engines of the model, live or not, so
    /// that a zone that is cut off keeps to its part and no other takes it.
    fn share(&self, model: &ModelId) -> f64 {
        let map = self.board.snapshot();
        let engines = map.values().filter(|entry| {
            entry.record.kind != InstanceKind::Plain && entry.record.model.as_ref() == Some(model)
        });
        let zones: BTreeSet<&ZoneId> = engines.map(|entry| &entry.record.zone).collect();
        1.0 / zones.len().max(1) as f64
    }
}
