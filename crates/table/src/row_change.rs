//! The change of one row by one edit.

use {
    crate::{cell_text::cell_text, work_column::WorkColumn, work_row::WorkRow},
    kernel::WorkId,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One row before and after an edit; `None` means that the row does not exist.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowChange {
    /// The row after the edit.
    pub after: Option<WorkRow>,
    /// The row before the edit.
    pub before: Option<WorkRow>,
    /// The key of the row.
    pub work: WorkId,
}

/// One cell before and after an edit, in the canonical text form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellChange {
    /// The cell after the edit.
    pub after: Arc<str>,
    /// The cell before the edit.
    pub before: Arc<str>,
    /// The column.
    pub column: WorkColumn,
}

impl RowChange {
    /// The cells that differ, in column order; empty when the row is added or removed.
    pub fn cells(&self) -> Vec<CellChange> {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => changed_cells(before, after),
            _ => Vec::new(),
        }
    }
}

/// The cells in which two rows differ, in column order.
pub fn changed_cells(before: &WorkRow, after: &WorkRow) -> Vec<CellChange> {
    let mut changes = Vec::new();
    for column in WorkColumn::ALL {
        let old = cell_text(before, column);
        let new = cell_text(after, column);
        if old == new {
            continue;
        }
        changes.push(CellChange {
            after: new.into(),
            before: old.into(),
            column,
        });
    }
    changes
}
