//! The table as the platform had it at one moment.

use {
    crate::head_row::HeadRow,
    kernel::{TableVersion, WorkId},
    std::collections::BTreeMap,
    table::StampedTable,
};

/// Rows and head of one version, with the store's own counts for conditional writes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableSnapshot {
    /// The head row; none before the first edit.
    pub head: Option<HeadRow>,
    /// The store's count of the head row; 0 when it is not there.
    pub head_row_version: u64,
    /// The store's counts of the rows.
    pub row_versions: BTreeMap<WorkId, u64>,
    /// The table.
    pub table: StampedTable,
}

impl TableSnapshot {
    /// The version; 0 before the first edit.
    pub fn version(&self) -> TableVersion {
        self.table.version()
    }
}
