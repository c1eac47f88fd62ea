//! Makes the allocators of cells, and tells each its share of the rows' limits.

use {
    admit::CellAllocator,
    flow::{PolicyFactory, UpstreamRegistry, limit_share::zone_limit},
    kernel::{ModelId, ZoneId},
    plat::InstanceKind,
    std::{collections::BTreeSet, sync::Arc},
    table::WorkTable,
};

/// Makes allocators that draw from a seed.
pub struct AllocatorMaker {
    board: Arc<UpstreamRegistry>,
    seed: u64,
    zone: ZoneId,
}

impl AllocatorMaker {
    /// A maker whose allocators draw from `seed`.
    pub fn new(board: Arc<UpstreamRegistry>, seed: u64, zone: ZoneId) -> Self {
        Self { board, seed, zone }
    }
}

impl PolicyFactory for AllocatorMaker {
    type Policy = CellAllocator;

    fn make(&self, _: &ModelId) -> CellAllocator {
        CellAllocator::builder().seed(self.seed).build()
    }

    /// The zones are those in which the list names engines of the model, live or not, so that a zone that is cut off
    /// keeps to its part and no other takes it.
    fn table_for_cell(&self, model: &ModelId, table: &WorkTable) -> WorkTable {
        let map = self.board.snapshot();
        let engines = map.values().filter(|entry| {
            entry.record.kind != InstanceKind::Plain && entry.record.model.as_ref() == Some(model)
        });
        let zones: BTreeSet<ZoneId> = engines.map(|entry| entry.record.zone.clone()).collect();
        let mut table = table.clone();
        for row in table.rows.values_mut() {
            row.limit = zone_limit(row, &zones, &self.zone);
        }
        table
    }
}
