//! `trestlewalk table diff`.

use {
    super::{
        change_text::changes_text,
        edit_plan::EditPlan,
        file_arguments::{FileArguments, load_file},
        operator_arguments::OperatorArguments,
        table_cli_error::{PlatformSnafu, TableCliError},
        text_output::print_text,
    },
    clap::Args,
    plat::InstanceList,
    snafu::ResultExt,
    std::path::PathBuf,
};

/// The arguments of `table diff`.
#[derive(Args, Debug)]
pub struct DiffCommand {
    /// The table file.
    #[command(flatten)]
    pub file: FileArguments,
    /// Where the platform is.
    #[command(flatten)]
    pub operator: OperatorArguments,
    /// A second file: compares the two files without calling the platform.
    pub other: Option<PathBuf>,
}

impl DiffCommand {
    /// Prints what the file would change in the table, or how the second file differs from the first.
    ///
    /// # Errors
    ///
    /// When a file has faults, the table can't be read from the platform, or the file conflicts with other edits.
    pub async fn execute(self) -> Result<(), TableCliError> {
        let file = self.file.load()?;
        if let Some(other) = &self.other {
            let other = load_file(other)?;
            let changes = table::diff_rows(&file.rows, &other.rows);
            return print_text(&changes_text(&changes));
        }
        let repository = self.operator.load()?.repository()?;
        let snapshot = repository.snapshot().await.context(PlatformSnafu)?;
        let plan = EditPlan::make(&repository, &snapshot, &self.file, &file).await?;
        // Without a list there are no notes.
        let instances = repository.store().instances().await.unwrap_or_default();
        plan.print(&instances)
    }
}
