//! The active table of this instance.

use {
    arc_swap::ArcSwap,
    std::{
        sync::Arc,
        time::{Instant, SystemTime},
    },
    table::WorkTable,
    tokio::sync::watch,
};

/// A table with the time of its activation on this instance.
#[derive(Clone, Debug)]
pub struct TableEntry {
    /// The time of activation by the monotonic clock.
    pub since: Instant,
    /// The time of activation by the wall clock.
    pub since_wall: SystemTime,
    /// The active table.
    pub table: Arc<WorkTable>,
}

/// Publishes the active table to all components, which can wait for a change.
#[derive(Debug)]
pub struct CurrentTable {
    entry: ArcSwap<Option<TableEntry>>,
    version: watch::Sender<u64>,
}

impl Default for CurrentTable {
    fn default() -> Self {
        Self {
            entry: ArcSwap::from_pointee(None),
            version: watch::Sender::new(0),
        }
    }
}

impl CurrentTable {
    /// Subscribes to the version of each new table.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// The active table with its activation time; `None` before the first one.
    pub fn entry(&self) -> Option<TableEntry> {
        self.entry.load().as_ref().clone()
    }

    /// Creates an instance without a table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Activates a table. The caller ensures that versions do not decrease.
    pub fn put(&self, table: Arc<WorkTable>) {
        let version = table.version;
        let entry = TableEntry {
            since: Instant::now(),
            since_wall: SystemTime::now(),
            table,
        };
        self.entry.store(Arc::new(Some(entry)));
        self.version.send_replace(version);
    }

    /// The active table; `None` before the first one.
    pub fn table(&self) -> Option<Arc<WorkTable>> {
        self.entry
            .load()
            .as_ref()
            .as_ref()
            .map(|entry| entry.table.clone())
    }
}
