//! Writes a table in its canonical CSV form.

use crate::{
    cell_text::cell_text, file_base::FileBase, work_column::WorkColumn, work_row::WorkRow,
};

/// Writes rows as CSV: the version line, the headings, one line per row. Parsing the text gives the same rows.
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

/// Appends one line. Values need no quoting: names and numbers contain neither separators nor quotes.
fn push_line(text: &mut String, cells: [String; WorkColumn::ALL.len()]) {
    text.push_str(&cells.join(","));
    text.push('\n');
}
