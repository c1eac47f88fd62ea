//! Parses a table file and reports every fault.

use {
    crate::{
        cell_parse::quote, fault_code::FaultCode, file_base::FileBase, row_cells::RowCells,
        table_error::TableError, table_fault::TableFault, table_file::TableFile,
        work_column::WorkColumn,
    },
    csv::ByteRecord,
    kernel::WorkId,
    std::{collections::BTreeMap, sync::Arc},
};

/// The maximum size of a file, in bytes.
pub const MAX_FILE_SIZE: usize = 16 << 20;
/// The maximum number of rows in a file.
pub const MAX_ROWS: usize = 100_000;
/// The character that starts a comment line.
const COMMENT_PREFIX: char = '#';
/// The supported cell separators; the first is the canonical one.
const SEPARATORS: [u8; 3] = [b',', b';', b'\t'];
/// The prefix of the first line with which some spreadsheets declare the separator.
const SEPARATOR_LINE: &str = "sep=";
/// The byte order mark of UTF-8.
const UTF8_BOM: &[u8] = b"\xef\xbb\xbf";
/// The byte order marks of UTF-16.
const UTF16_BOMS: [&[u8]; 2] = [b"\xff\xfe", b"\xfe\xff"];

/// Parses a whole table file. `file` is the name shown in faults.
///
/// # Errors
///
/// [`TableError::Invalid`] with every fault, ordered by line and column; nothing of the file is then used.
pub fn read_csv(file: &str, content: &[u8]) -> Result<TableFile, TableError> {
    let mut reader = CsvReader {
        columns: None,
        faults: Vec::new(),
        file: file.into(),
        lines: BTreeMap::new(),
        table: TableFile::default(),
    };
    reader.read(content);
    if reader.faults.is_empty() {
        return Ok(reader.table);
    }
    reader
        .faults
        .sort_by_key(|fault| (fault.line, fault.column, fault.code));
    Err(TableError::Invalid {
        faults: reader.faults,
    })
}

struct CsvReader {
    columns: Option<Vec<Option<WorkColumn>>>,
    faults: Vec<TableFault>,
    file: Arc<str>,
    lines: BTreeMap<WorkId, u64>,
    table: TableFile,
}

impl CsvReader {
    fn add_row(&mut self, line: u64, cells: BTreeMap<WorkColumn, &str>, decimal_comma: bool) {
        // Duplicate keys are reported even when other cells of the row have faults.
        let work = cells.get(&WorkColumn::Work).copied().unwrap_or_default();
        let first = self.lines.get(work).copied();
        if let Some(first) = first {
            let detail = format!("{}, first in line {first}", quote(work));
            self.fault(FaultCode::RowTwice, line, Some(WorkColumn::Work), detail);
        } else if !work.is_empty() {
            self.lines.insert(work.into(), line);
        }
        match RowCells::new(cells, decimal_comma).read() {
            Ok(row) => {
                self.table.rows.insert(row.work.clone(), row);
            }
            Err(faults) => {
                for (column, fault) in faults {
                    self.fault(fault.code, line, column, fault.detail);
                }
            }
        }
    }

    fn fault(
        &mut self,
        code: FaultCode,
        line: u64,
        column: Option<WorkColumn>,
        detail: impl AsRef<str>,
    ) {
        self.faults.push(TableFault {
            code,
            column,
            detail: detail.as_ref().into(),
            file: self.file.clone(),
            line,
        });
    }

    fn read(&mut self, content: &[u8]) {
        if content.len() > MAX_FILE_SIZE {
            let detail = format!("{} bytes, not up to {MAX_FILE_SIZE}", content.len());
            return self.fault(FaultCode::FileTooLarge, 0, None, detail);
        }
        if UTF16_BOMS.iter().any(|mark| content.starts_with(mark)) {
            let detail = "it is UTF-16; save it as `CSV UTF-8`";
            return self.fault(FaultCode::FileEncoding, 0, None, detail);
        }
        let content = content.strip_prefix(UTF8_BOM).unwrap_or(content);
        let quotes = content.iter().filter(|byte| **byte == b'"').count();
        if !quotes.is_multiple_of(2) {
            self.fault(FaultCode::QuoteOpen, 0, None, "");
        }
        let separator = find_separator(content);
        let mut reader = csv::ReaderBuilder::new()
            .delimiter(separator)
            .flexible(true)
            .has_headers(false)
            .from_reader(content);
        let mut record = ByteRecord::new();
        let mut rows = 0;
        // Reading flexible rows from memory can't fail; an error would end the loop.
        while let Ok(true) = reader.read_byte_record(&mut record) {
            let line = line_of(&record, content);
            if !self.read_record(&record, line, separator) {
                continue;
            }
            rows += 1;
            if rows > MAX_ROWS {
                let detail = format!("not up to {MAX_ROWS}");
                self.fault(FaultCode::RowsTooMany, line, None, detail);
                break;
            }
        }
        if self.columns.is_none() {
            self.fault(FaultCode::HeadingsMissing, 0, None, "");
        }
    }

    /// Returns whether the record is a row.
    fn read_record(&mut self, record: &ByteRecord, line: u64, separator: u8) -> bool {
        if record.iter().all(|cell| cell.trim_ascii().is_empty()) {
            return false;
        }
        let first = String::from_utf8_lossy(record.get(0).unwrap_or_default());
        if first.trim_start().starts_with(COMMENT_PREFIX) {
            self.read_comment(first.trim(), line);
            return false;
        }
        let Some(columns) = self.columns.clone() else {
            if !first
                .trim()
                .to_ascii_lowercase()
                .starts_with(SEPARATOR_LINE)
            {
                self.read_headings(record, line);
            }
            return false;
        };
        let cells = self.read_cells(record, line, &columns);
        self.add_row(line, cells, separator == b';');
        true
    }

    fn read_cells<'a>(
        &mut self,
        record: &'a ByteRecord,
        line: u64,
        columns: &[Option<WorkColumn>],
    ) -> BTreeMap<WorkColumn, &'a str> {
        let mut cells = BTreeMap::new();
        for (index, cell) in record.iter().enumerate() {
            let Some(column) = columns.get(index).copied().flatten() else {
                if !cell.trim_ascii().is_empty() {
                    let detail = quote(&String::from_utf8_lossy(cell));
                    self.fault(FaultCode::CellsTooMany, line, None, detail);
                }
                continue;
            };
            let Ok(text) = std::str::from_utf8(cell) else {
                let detail = quote(&String::from_utf8_lossy(cell));
                self.fault(FaultCode::CellEncoding, line, Some(column), detail);
                continue;
            };
            cells.insert(column, text.trim());
        }
        if let Some(column) = columns.iter().skip(record.len()).flatten().next() {
            let detail = format!("{} cells, none for {column}", record.len());
            self.fault(FaultCode::CellsTooFew, line, None, detail);
        }
        cells
    }

    fn read_comment(&mut self, comment: &str, line: u64) {
        let Some(base) = FileBase::from_comment(comment) else {
            return;
        };
        let Ok(base) = base else {
            return self.fault(FaultCode::VersionGarbled, line, None, quote(comment));
        };
        if self.table.base.is_some_and(|earlier| earlier != base) {
            return self.fault(FaultCode::VersionTwice, line, None, quote(comment));
        }
        self.table.base = Some(base);
    }

    fn read_headings(&mut self, record: &ByteRecord, line: u64) {
        let mut columns: Vec<Option<WorkColumn>> = Vec::new();
        for cell in record.iter() {
            let heading = String::from_utf8_lossy(cell);
            let column = WorkColumn::from_heading(&heading);
            if column.is_none() && !heading.trim().is_empty() {
                self.fault(FaultCode::ColumnUnknown, line, None, quote(&heading));
            }
            if column.is_some() && columns.contains(&column) {
                self.fault(FaultCode::ColumnTwice, line, column, "");
            }
            columns.push(column);
        }
        for column in WorkColumn::ALL {
            if !columns.contains(&Some(column)) {
                self.fault(FaultCode::ColumnMissing, line, Some(column), "");
            }
        }
        self.columns = Some(columns);
    }
}

/// Detects the separator: the most frequent one in the line of headings.
fn find_separator(content: &[u8]) -> u8 {
    for line in content.split(|byte| matches!(byte, b'\n' | b'\r')) {
        let start = line.trim_ascii_start();
        let start = start.strip_prefix(b"\"").unwrap_or(start);
        let is_comment = start.first() == Some(&(COMMENT_PREFIX as u8));
        let is_blank = start.iter().all(|byte| SEPARATORS.contains(byte));
        if is_comment || is_blank || start.starts_with(SEPARATOR_LINE.as_bytes()) {
            continue;
        }
        let count = |separator: u8| line.iter().filter(|byte| **byte == separator).count();
        let most = SEPARATORS.into_iter().rev().max_by_key(|it| count(*it));
        return most.unwrap_or(SEPARATORS[0]);
    }
    SEPARATORS[0]
}

/// The line where a record's text starts. The CSV reader's position is before the empty lines that it skips.
fn line_of(record: &ByteRecord, content: &[u8]) -> u64 {
    let Some(position) = record.position() else {
        return 0;
    };
    let start = usize::try_from(position.byte()).unwrap_or(content.len());
    let rest = content.get(start..).unwrap_or_default();
    let mut line = position.line();
    for byte in rest {
        match byte {
            b'\n' => line += 1,
            b'\r' => {}
            _ => break,
        }
    }
    line
}
