//! One fault of a table file.

use {
    crate::{fault_code::FaultCode, work_column::WorkColumn},
    std::{fmt, sync::Arc},
};

/// What is wrong, and where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableFault {
    /// The kind of fault.
    pub code: FaultCode,
    /// The column at fault; none when the fault is the row's or the file's.
    pub column: Option<WorkColumn>,
    /// What the file has there, and what it should have.
    pub detail: Arc<str>,
    /// The name of the file.
    pub file: Arc<str>,
    /// The line in the file, counted from 1; 0 when the fault is the file's.
    pub line: u64,
}

impl fmt::Display for TableFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file)?;
        if self.line > 0 {
            write!(formatter, ": line {}", self.line)?;
        }
        if let Some(column) = self.column {
            write!(formatter, ", column {column}")?;
        }
        write!(formatter, ": fault {}: ", self.code.number())?;
        write!(formatter, "{}", self.code.text())?;
        if self.detail.is_empty() {
            return Ok(());
        }
        write!(formatter, ": {}", self.detail)
    }
}
