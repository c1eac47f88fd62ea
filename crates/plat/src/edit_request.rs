//! An edit that an operator asks for.

use {
    crate::edit_origin::EditOrigin,
    kernel::{TableVersion, WorkId},
    std::collections::BTreeMap,
    table::{FileBase, RowConflict, TableMerge, WorkRow},
};

/// A whole file to merge into the table.
#[derive(Clone, Debug)]
pub struct EditRequest {
    /// The version that the file was taken from.
    pub base: FileBase,
    /// Who edits, when, and under which id.
    pub origin: EditOrigin,
    /// The rows of the file.
    pub rows: BTreeMap<WorkId, WorkRow>,
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// It is done, now or by an earlier try whose reply was lost.
    Committed {
        /// What it changed.
        merge: TableMerge,
        /// The version that it made.
        version: TableVersion,
    },
    /// Someone else changed the same rows; nothing is done.
    Conflict {
        /// The rows, with both values.
        conflicts: Vec<RowConflict>,
        /// The version that has the other values.
        version: TableVersion,
    },
    /// The table is already as the file says.
    Unchanged {
        /// The version that says so.
        version: TableVersion,
    },
}
