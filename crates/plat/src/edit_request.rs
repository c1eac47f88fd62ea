//! An edit requested by an operator.

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
    /// The author, time and id of the edit.
    pub origin: EditOrigin,
    /// The rows of the file.
    pub rows: BTreeMap<WorkId, WorkRow>,
}

/// The outcome of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// The edit is committed, now or by an earlier attempt whose reply was lost.
    Committed {
        /// The merged changes.
        merge: TableMerge,
        /// The version after the edit.
        version: TableVersion,
    },
    /// Another edit changed the same rows; nothing was written.
    Conflict {
        /// The rows, with both values.
        conflicts: Vec<RowConflict>,
        /// The version that contains the other values.
        version: TableVersion,
    },
    /// The table already has the content of the file.
    Unchanged {
        /// The version with that content.
        version: TableVersion,
    },
}
