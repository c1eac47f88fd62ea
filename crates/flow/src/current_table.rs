//! The table in force at this instance.

use {
    arc_swap::ArcSwap,
    std::{
        sync::Arc,
        time::{Instant, SystemTime},
    },
    table::WorkTable,
    tokio::sync::watch,
};

/// A table with the moment since which it is in force here.
#[derive(Clone, Debug)]
pub struct TableEntry {
    /// The moment, by this process's clock.
    pub since: Instant,
    /// The moment, by the wall clock.
    pub since_wall: SystemTime,
    /// The table.
    pub table: Arc<WorkTable>,
}

/// Shows the table in force to every part; a part can wait for the next one.
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
    /// Tells of each further table.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// The entry in force.
    pub fn entry(&self) -> Option<TableEntry> {
        self.entry.load().as_ref().clone()
    }

    /// A board without a table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a table in force. Whoever calls it answers for the order of versions.
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

    /// The table in force.
    pub fn table(&self) -> Option<Arc<WorkTable>> {
        self.entry
            .load()
            .as_ref()
            .as_ref()
            .map(|entry| entry.table.clone())
    }
}
