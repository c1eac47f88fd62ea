//! `trestlewalk table show`.

use {
    super::{
        operator_arguments::OperatorArguments,
        table_cli_error::{PlatformSnafu, TableCliError},
        text_output::print_text,
    },
    clap::Args,
    plat::{TableSnapshot, content_digest},
    snafu::ResultExt,
    table::{FileBase, write_csv},
};

/// The arguments of `table show`.
#[derive(Args, Debug)]
pub struct ShowCommand {
    /// Where the platform is.
    #[command(flatten)]
    pub operator: OperatorArguments,
}

impl ShowCommand {
    /// Prints the table as CSV with its version line.
    ///
    /// # Errors
    ///
    /// When the table can't be read from the platform.
    pub async fn execute(self) -> Result<(), TableCliError> {
        let repository = self.operator.load()?.repository()?;
        let snapshot = repository.snapshot().await.context(PlatformSnafu)?;
        print_text(&snapshot_text(&snapshot))
    }
}

/// Formats a table as CSV with its version line.
pub fn snapshot_text(snapshot: &TableSnapshot) -> String {
    let rows = snapshot.table.live_rows();
    let base = FileBase {
        digest: Some(content_digest(&rows)),
        version: snapshot.version(),
    };
    write_csv(Some(base), rows.values())
}
