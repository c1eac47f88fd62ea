//! The cell summaries that an instance has received.

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

/// Holds the newest summary per cell and allocator until it expires.
#[derive(Clone, Debug)]
pub struct CellTable {
    cells: BTreeMap<CellKey, (Instant, CellSummary)>,
    lifetime: Duration,
    limit: usize,
}

impl CellTable {
    /// All summaries, ordered by cell and allocator.
    pub fn all(&self) -> impl Iterator<Item = &CellSummary> {
        self.cells.values().map(|(_, summary)| summary)
    }

    /// Drops the summaries that are older than the lifetime.
    pub fn expire(&mut self, now: Instant) {
        let lifetime = self.lifetime;
        self.cells
            .retain(|_, (received, _)| now.saturating_duration_since(*received) < lifetime);
    }

    /// The summary of one cell from one allocator.
    pub fn get(&self, key: &CellKey) -> Option<&CellSummary> {
        self.cells.get(key).map(|(_, summary)| summary)
    }

    /// Creates an empty table that holds at most `limit` summaries.
    pub fn new(lifetime: Duration, limit: usize) -> Self {
        Self {
            cells: BTreeMap::new(),
            lifetime,
            limit,
        }
    }

    /// Stores a summary; returns `false` when it is not newer than the known one or the table is full.
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
