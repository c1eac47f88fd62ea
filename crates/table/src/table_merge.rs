//! Three-way merge of an edited file into a table that may have changed since.

use {
    crate::{row_change::RowChange, table_diff::diff_rows, work_row::WorkRow},
    kernel::WorkId,
    std::collections::BTreeMap,
};

/// One row that the file and another edit changed differently.
#[derive(Clone, Debug, PartialEq)]
pub struct RowConflict {
    /// The row at the version that the file was exported from.
    pub base: Option<WorkRow>,
    /// The row in the file.
    pub mine: Option<WorkRow>,
    /// The row in the current table.
    pub theirs: Option<WorkRow>,
    /// The key of the row.
    pub work: WorkId,
}

/// The result of merging a file into the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableMerge {
    /// The rows that only the file changed, relative to the current table.
    pub changes: Vec<RowChange>,
    /// The rows that both changed differently; if there are any, nothing of the file is applied.
    pub conflicts: Vec<RowConflict>,
    /// The rows that the file changed to what the current table already has.
    pub unchanged: Vec<WorkId>,
}

/// Merges the rows of a file (`mine`), exported from the table at `base`, into the current table (`theirs`).
/// Only rows that differ between `base` and `mine` are edits of the file.
pub fn merge_rows(
    base: &BTreeMap<WorkId, WorkRow>,
    mine: &BTreeMap<WorkId, WorkRow>,
    theirs: &BTreeMap<WorkId, WorkRow>,
) -> TableMerge {
    let mut merge = TableMerge::default();
    for edit in diff_rows(base, mine) {
        let current = theirs.get(&edit.work);
        if current == edit.after.as_ref() {
            merge.unchanged.push(edit.work);
            continue;
        }
        if current == edit.before.as_ref() {
            merge.changes.push(edit);
            continue;
        }
        merge.conflicts.push(RowConflict {
            base: edit.before,
            mine: edit.after,
            theirs: current.cloned(),
            work: edit.work,
        });
    }
    merge
}
