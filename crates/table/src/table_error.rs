//! The errors of reading a table.

use {crate::table_fault::TableFault, kernel::ResultCode, snafu::Snafu};

/// An error of this crate.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum TableError {
    /// The file has faults; nothing of it was used.
    #[snafu(display("{}", list_faults(faults)))]
    Invalid {
        /// Every fault, ordered by line and column.
        faults: Vec<TableFault>,
    },
}

impl TableError {
    /// The faults, ordered by line and column.
    pub fn faults(&self) -> &[TableFault] {
        match self {
            Self::Invalid { faults } => faults,
        }
    }

    /// The numbered result that operators see.
    pub fn result_code(&self) -> ResultCode {
        match self {
            Self::Invalid { .. } => ResultCode::TableInvalid,
        }
    }
}

fn list_faults(faults: &[TableFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
