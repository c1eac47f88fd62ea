//! The division of engines into cells, their allocators, and the split of limits over cells.

use {
    crate::cell_key::CellKey,
    kernel::{InstanceId, ModelId, UpstreamId, ZoneId, seeded_rng},
    table::{WorkRow, WorkTable},
};

/// The cells of all availability zones. Depends on the settings only, so every instance computes the same plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellPlan {
    cells: u32,
    zones: Vec<ZoneId>,
}

impl CellPlan {
    /// The live entry instance that allocates a cell, chosen by rendezvous hashing over the instances of the cell's
    /// availability zone.
    ///
    /// A joining or leaving instance moves only the cells that it wins or loses. Two instances with different member
    /// lists may both allocate for a short time; engines then refuse what exceeds their capacity.
    pub fn allocator<'a>(
        &self,
        cell: &CellKey,
        live: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Option<&'a InstanceId> {
        seeded_rng::rendezvous(&cell.to_string(), live)
    }

    /// The cell that an upstream of an availability zone and model belongs to.
    pub fn cell_of(&self, zone: &ZoneId, model: &ModelId, upstream: &UpstreamId) -> CellKey {
        let keys = self.cells_of(zone, model);
        let names: Vec<String> = keys.iter().map(CellKey::to_string).collect();
        let winner = seeded_rng::rendezvous(upstream, &names);
        let cell = names.iter().position(|name| Some(name) == winner);
        keys[cell.unwrap_or_default()].clone()
    }

    /// The cells of a model in an availability zone.
    pub fn cells_of(&self, zone: &ZoneId, model: &ModelId) -> Vec<CellKey> {
        let mut keys = Vec::new();
        for cell in 0..self.cells {
            keys.push(CellKey {
                cell,
                model: model.clone(),
                zone: zone.clone(),
            });
        }
        keys
    }

    /// The cells in which a request of the row may run. A row with a small limit has few.
    pub fn cells_with_capacity(&self, row: &WorkRow) -> Vec<CellKey> {
        let mut cells_with_capacity = self.allowed_cells(row);
        cells_with_capacity.retain(|cell| self.limit_share(row, cell) != Some(0));
        cells_with_capacity
    }

    /// The number of requests of a row that may run at once in a cell; `None` if the row has no limit.
    ///
    /// The limit is divided evenly over the cells where the row may run, whether or not they are alive. The remainder
    /// goes, one each, to the cells chosen by rendezvous hashing on the row. The parts therefore always sum to the
    /// limit, a cell that is cut off keeps to its own part, and a row can run somewhere unless its limit is 0.
    pub fn limit_share(&self, row: &WorkRow, cell: &CellKey) -> Option<u32> {
        let limit = row.limit?;
        let mut cells = self.allowed_cells(row);
        if !cells.contains(cell) {
            return Some(0);
        }
        cells.sort_by_cached_key(|cell| seeded_rng::rendezvous_score(&row.work, &cell.to_string()));
        let count = u32::try_from(cells.len()).unwrap_or(u32::MAX);
        let place = cells.iter().rev().position(|other| other == cell);
        let extra = place.is_some_and(|place| place < (limit % count) as usize);
        Some(limit / count + u32::from(extra))
    }

    /// Creates a plan with `cells` cells (at least one) per model and availability zone.
    pub fn new(zones: Vec<ZoneId>, cells: u32) -> Self {
        let cells = cells.max(1);
        Self { cells, zones }
    }

    /// The table for a cell's allocator, in which each limit is the cell's part. Used with a share of 1.
    pub fn split(&self, table: &WorkTable, cell: &CellKey) -> WorkTable {
        let mut split = table.clone();
        for row in split.rows.values_mut() {
            row.limit = self.limit_share(row, cell);
        }
        split
    }

    fn allowed_cells(&self, row: &WorkRow) -> Vec<CellKey> {
        let Some(model) = &row.model else {
            return Vec::new();
        };
        let mut cells = Vec::new();
        for zone in &self.zones {
            if row.allows(zone) {
                cells.extend(self.cells_of(zone, model));
            }
        }
        cells
    }
}
