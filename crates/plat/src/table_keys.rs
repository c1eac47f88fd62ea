//! The keys under which the platform keeps the operators' table.

use kernel::TableVersion;

/// The key of the head row.
pub const HEAD_KEY: &str = "table/head";
/// What the keys of the table's rows start with.
pub const ROW_PREFIX: &str = "work/";
/// What the keys of the log of edits start with.
pub const EDIT_PREFIX: &str = "table/edit/";

/// The key of the log entry of a version; keys sort as versions do.
pub fn edit_key(version: TableVersion) -> String {
    format!("{EDIT_PREFIX}{version:020}")
}

/// The key of the row of a kind of work.
pub fn row_key(work: &str) -> String {
    format!("{ROW_PREFIX}{work}")
}
