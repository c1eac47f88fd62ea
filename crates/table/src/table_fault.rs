//! One fault of a table file.

use {
    crate::{fault_code::FaultCode, work_column::WorkColumn},
    std::{fmt, sync::Arc},
};

/// A fault with its position in the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableFault {
    /// The kind of fault.
    pub code: FaultCode,
    /// The column of the fault; `None` when the fault concerns the whole row or file.
    pub column: Option<WorkColumn>,
    /// The content of the file, and where it helps, what is allowed; may be empty.
    pub detail: Arc<str>,
    /// The name of the file.
    pub file: Arc<str>,
    /// The line in the file, counted from 1; 0 when the fault concerns the whole file.
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
