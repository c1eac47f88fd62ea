//! The summaries of cells that an instance knows.

use {
    crate::cell_summary::{CellId, CellSummary},
    kernel::InstanceId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A cell and its allocator.
pub type CellKey = (CellId, InstanceId);

/// Holds the newest summary of each allocator of each cell until its lifetime ends.
#[derive(Clone, Debug)]
pub struct CellTable {
    cells: BTreeMap<CellKey, (Instant, CellSummary)>,
    lifetime: Duration,
    limit: usize,
}

impl CellTable {
    /// The summaries, by cell and allocator.
    pub fn all(&self) -> impl Iterator<Item = &CellSummary> {
        self.cells.values().map(|(_, summary)| summary)
    }

    /// Drops the summaries that are too old to go by.
    pub fn expire(&mut self, now: Instant) {
        let lifetime = self.lifetime;
        self.cells
            .retain(|_, (heard, _)| now.saturating_duration_since(*heard) < lifetime);
    }

    /// One summary.
    pub fn get(&self, key: &CellKey) -> Option<&CellSummary> {
        self.cells.get(key).map(|(_, summary)| summary)
    }

    /// An empty table.
    pub fn new(lifetime: Duration, limit: usize) -> Self {
        Self {
            cells: BTreeMap::new(),
            lifetime,
            limit,
        }
    }

    /// Takes a summary; `false` when it is old or over the limit.
    pub fn put(&mut self, now: Instant, summary: CellSummary) -> bool {
        let key = (summary.cell.clone(), summary.by.clone());
        let known = self.get(&key);
        if known.is_some_and(|known| !summary.supersedes(known)) {
            return false;
        }
        if known.is_none() && self.cells.len() >= self.limit {
            return false;
        }
        self.cells.insert(key, (now, summary));
        true
    }
}
