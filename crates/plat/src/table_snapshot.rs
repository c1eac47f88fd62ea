//! A consistent snapshot of the stored table.

use {
    crate::head_row::HeadRow,
    kernel::{TableVersion, WorkId},
    std::collections::BTreeMap,
    table::StampedTable,
};

/// Rows and head of one version, with the row versions for conditional writes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableSnapshot {
    /// The head row; `None` before the first edit.
    pub head: Option<HeadRow>,
    /// The stored version of the head row; 0 if it does not exist.
    pub head_row_version: u64,
    /// The stored versions of the rows.
    pub row_versions: BTreeMap<WorkId, u64>,
    /// The table.
    pub table: StampedTable,
}

impl TableSnapshot {
    /// The version of the table; 0 before the first edit.
    pub fn version(&self) -> TableVersion {
        self.table.version()
    }
}
