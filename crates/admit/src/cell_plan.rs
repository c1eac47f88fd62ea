//! Which cells there are, who allocates each, and what part of a limit each has.

use {
    crate::cell_key::CellKey,
    kernel::{InstanceId, ModelId, UpstreamId, ZoneId, seeded_rng},
    table::{WorkRow, WorkTable},
};

/// The cells of all availability zones. A fixed function of the settings, the same on every instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellPlan {
    cells: u32,
    zones: Vec<ZoneId>,
}

impl CellPlan {
    /// The live entry instance that allocates a cell: rendezvous hashing over those of the cell's availability zone.
    ///
    /// An instance that comes or goes moves only the cells that it wins or had won. Two instances that see different
    /// members may both allocate for a moment: engines refuse what doesn't fit.
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

    /// The cells of an availability zone and model.
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

    /// The cells where something of a row may run, by their names; a row with a small limit has few.
    pub fn cells_with_capacity(&self, row: &WorkRow) -> Vec<CellKey> {
        let mut cells_with_capacity = self.allowed_cells(row);
        cells_with_capacity.retain(|cell| self.limit_share(row, cell) != Some(0));
        cells_with_capacity
    }

    /// How many requests of a row may run at once in a cell; none is no limit.
    ///
    /// The limit is divided evenly over the cells where the row may run, whether or not they live. What the division
    /// leaves over goes, one each, to the cells that rendezvous hashing on the row names. So the parts always sum to
    /// the limit, a cell that is cut off keeps to its own part, and a row goes on somewhere unless its limit is 0.
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

    /// A plan of `cells` cells, at least one, for each model in each of the availability zones.
    pub fn new(zones: Vec<ZoneId>, cells: u32) -> Self {
        let cells = cells.max(1);
        Self { cells, zones }
    }

    /// The table as a cell's allocator is to have it, with a share of 1: each limit is the cell's part.
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
