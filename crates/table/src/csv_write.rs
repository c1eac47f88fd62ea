//! The canonical CSV form of a table.

use crate::{
    cell_text::cell_text, file_base::FileBase, work_column::WorkColumn, work_row::WorkRow,
};

/// Writes rows as CSV: the version line, the headings, one line a row. Reading the text back gives the same rows.
pub fn write_csv<'a>(
    base: Option<FileBase>,
    rows: impl IntoIterator<Item = &'a WorkRow>,
) -> String {
    let mut text = String::new();
    if let Some(base) = base {
        text.push_str(&format!("{base}\n"));
    }
    push_line(
        &mut text,
        WorkColumn::ALL.map(|column| column.name().to_owned()),
    );
    for row in rows {
        push_line(
            &mut text,
            WorkColumn::ALL.map(|column| cell_text(row, column)),
        );
    }
    text
}

/// Values need no quotes: names and numbers have neither separators nor quotes.
fn push_line(text: &mut String, cells: [String; WorkColumn::ALL.len()]) {
    text.push_str(&cells.join(","));
    text.push('\n');
}
