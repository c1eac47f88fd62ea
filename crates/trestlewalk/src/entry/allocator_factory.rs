//! Creates the allocators of cells, and computes the share of the rows' limits that each enforces.

use {
    admit::CellAllocator,
    flow::{PolicyFactory, UpstreamRegistry, limit_share::zone_limit},
    kernel::{ModelId, ZoneId},
    plat::InstanceKind,
    std::{collections::BTreeSet, sync::Arc},
    table::WorkTable,
};

/// Creates allocators whose random choices come from a seed.
pub struct AllocatorFactory {
    registry: Arc<UpstreamRegistry>,
    seed: u64,
    zone: ZoneId,
}

impl AllocatorFactory {
    /// Creates a factory for the allocators of `zone`.
    pub fn new(registry: Arc<UpstreamRegistry>, seed: u64, zone: ZoneId) -> Self {
        Self {
            registry,
            seed,
            zone,
        }
    }
}

impl PolicyFactory for AllocatorFactory {
    type Policy = CellAllocator;

    fn make(&self, _: &ModelId) -> CellAllocator {
        CellAllocator::builder().seed(self.seed).build()
    }

    /// Limits are divided among the availability zones in which the list names engines of the model, live or not. An
    /// availability zone that is cut off thus keeps to its share, and no other one takes it over.
    fn table_for_cell(&self, model: &ModelId, table: &WorkTable) -> WorkTable {
        let map = self.registry.snapshot();
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
