//! The row keys of the operators' table.

use kernel::TableVersion;

/// The key of the head row.
pub const HEAD_KEY: &str = "table/head";
/// The key prefix of the table's rows.
pub const ROW_PREFIX: &str = "work/";
/// The key prefix of the edit log.
pub const EDIT_PREFIX: &str = "table/edit/";

/// The key of the log entry of a version; keys sort in the order of versions.
pub fn edit_key(version: TableVersion) -> String {
    format!("{EDIT_PREFIX}{version:020}")
}

/// The key of the row of a kind of work.
pub fn row_key(work: &str) -> String {
    format!("{ROW_PREFIX}{work}")
}
