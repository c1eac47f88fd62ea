//! `trestlewalk table`: reads and edits the operators' table. `docs/TABLE.md` is the operators' page.

pub mod admin_probe;
pub mod apply;
pub mod change_text;
pub mod check;
pub mod diff;
pub mod edit_plan;
pub mod file_arguments;
pub mod history;
pub mod name_notes;
pub mod operator_arguments;
pub mod operator_settings;
pub mod show;
pub mod table_cli_error;
pub mod text_output;
pub mod zone_watch;

pub use table_cli_error::TableCliError;

use {
    self::{
        apply::ApplyCommand, check::CheckCommand, diff::DiffCommand, history::HistoryCommand,
        show::ShowCommand,
    },
    crate::RunError,
    tokio::runtime::Runtime,
};

/// The subcommands of `table`.
#[derive(clap::Subcommand, Debug)]
pub enum TableCommand {
    /// Merge a file's changes into the table, and wait until they are in force in every availability zone.
    Apply(ApplyCommand),
    /// Check a file and print every fault.
    Check(CheckCommand),
    /// Print what a file would change.
    Diff(DiffCommand),
    /// Print the latest edits.
    History(HistoryCommand),
    /// Print the table as CSV.
    Show(ShowCommand),
}

impl TableCommand {
    /// Runs the subcommand on a runtime of its own.
    ///
    /// # Errors
    ///
    /// As for [`TableCommand::execute`].
    pub fn run(self) -> Result<(), RunError> {
        let runtime = Runtime::new().map_err(|source| RunError::Runtime { source })?;
        let outcome = runtime.block_on(self.execute());
        outcome.map_err(|source| RunError::Table { source })
    }

    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// The reason of the failure; [`TableCliError::result_code`] gives its result code.
    pub async fn execute(self) -> Result<(), TableCliError> {
        match self {
            Self::Apply(command) => command.execute().await,
            Self::Check(command) => command.execute(),
            Self::Diff(command) => command.execute().await,
            Self::History(command) => command.execute().await,
            Self::Show(command) => command.execute().await,
        }
    }
}
