//! The three-way merge of a file into the table that others went on editing.

use {
    crate::{row_change::RowChange, table_diff::diff_rows, work_row::WorkRow},
    kernel::WorkId,
    std::collections::BTreeMap,
};

/// One row that the file and someone else changed differently.
#[derive(Clone, Debug, PartialEq)]
pub struct RowConflict {
    /// The row at the version that the file was taken from.
    pub base: Option<WorkRow>,
    /// The row in the file.
    pub mine: Option<WorkRow>,
    /// The row in the table now.
    pub theirs: Option<WorkRow>,
    /// The key of the row.
    pub work: WorkId,
}

/// What a file does to the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableMerge {
    /// The rows that the file changes and nobody else did, against the table now.
    pub changes: Vec<RowChange>,
    /// The rows that both changed differently; none of the file is applied while there are any.
    pub conflicts: Vec<RowConflict>,
    /// The rows that the file changed to what the table has already.
    pub unchanged: Vec<WorkId>,
}

/// Merges the rows of a file (`mine`), taken from a table at `base`, into the table now (`theirs`).
/// Only rows that differ between `base` and `mine` count as the file's edits.
pub fn merge_rows(
    base: &BTreeMap<WorkId, WorkRow>,
    mine: &BTreeMap<WorkId, WorkRow>,
    theirs: &BTreeMap<WorkId, WorkRow>,
) -> TableMerge {
    let mut merge = TableMerge::default();
    for edit in diff_rows(base, mine) {
        let now = theirs.get(&edit.work);
        if now == edit.after.as_ref() {
            merge.unchanged.push(edit.work);
            continue;
        }
        if now == edit.before.as_ref() {
            merge.changes.push(edit);
            continue;
        }
        merge.conflicts.push(RowConflict {
            base: edit.before,
            mine: edit.after,
            theirs: now.cloned(),
            work: edit.work,
        });
    }
    merge
}
