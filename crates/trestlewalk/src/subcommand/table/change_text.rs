//! Formats changes and conflicts as text.

use {
    std::fmt::Write,
    table::{RowChange, RowConflict, WorkColumn, WorkRow, cell_text, changed_cells},
};

/// The text for an empty cell.
const EMPTY_CELL: &str = "(empty)";

/// Formats changes: one line for each added or removed row, and one for each changed cell.
pub fn changes_text(changes: &[RowChange]) -> String {
    let mut text = String::new();
    for change in changes {
        match (&change.before, &change.after) {
            (None, Some(row)) => push(&mut text, "+", &change.work, &row_text(row)),
            (Some(row), None) => push(&mut text, "-", &change.work, &row_text(row)),
            _ => {}
        }
        for cell in change.cells() {
            let values = format!(
                "{}: {} -> {}",
                cell.column,
                or_empty(&cell.before),
                or_empty(&cell.after)
            );
            push(&mut text, "~", &change.work, &values);
        }
    }
    text
}

/// Formats conflicts: one line for each cell that differs, with both values.
pub fn conflicts_text(conflicts: &[RowConflict]) -> String {
    let mut text = String::new();
    for conflict in conflicts {
        for (column, mine, theirs) in conflict_cells(conflict) {
            let values = format!("{column}: yours {mine}, now {theirs}");
            push(&mut text, "!", &conflict.work, &values);
        }
    }
    text
}

fn conflict_cells(conflict: &RowConflict) -> Vec<(String, String, String)> {
    let (Some(mine), Some(theirs)) = (&conflict.mine, &conflict.theirs) else {
        let whole = |row: &Option<WorkRow>| match row {
            Some(row) => row_text(row),
            None => "removed".to_owned(),
        };
        let row = (
            "row".to_owned(),
            whole(&conflict.mine),
            whole(&conflict.theirs),
        );
        return vec![row];
    };
    let cells = changed_cells(theirs, mine).into_iter();
    cells
        .map(|cell| {
            let column = cell.column.to_string();
            (column, or_empty(&cell.after), or_empty(&cell.before))
        })
        .collect()
}

fn or_empty(cell: &str) -> String {
    match cell {
        "" => EMPTY_CELL.to_owned(),
        cell => cell.to_owned(),
    }
}

fn push(text: &mut String, mark: &str, work: &str, values: &str) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "{mark} {work}  {values}");
}

fn row_text(row: &WorkRow) -> String {
    let mut cells = Vec::new();
    for column in WorkColumn::ALL {
        let cell = cell_text(row, column);
        if column == WorkColumn::Work || cell.is_empty() {
            continue;
        }
        cells.push(format!("{column}={cell}"));
    }
    cells.join(" ")
}
