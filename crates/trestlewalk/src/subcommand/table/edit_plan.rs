//! The effect that a file would have on the current table.

use {
    super::{
        change_text::{changes_text, conflicts_text},
        file_arguments::FileArguments,
        name_notes::name_notes,
        table_cli_error::{ConflictSnafu, PlatformSnafu, TableCliError},
        text_output::print_text,
    },
    kernel::TableVersion,
    plat::{InstanceRecord, RowStore, TableRepository, TableSnapshot},
    snafu::ResultExt,
    table::{FileBase, RowConflict, TableFile, TableMerge, merge_rows},
};

/// The merge of a file into the current table.
#[derive(Clone, Debug)]
pub struct EditPlan {
    /// The version that the file is based on.
    pub base: FileBase,
    /// The changes, the conflicts and the rows that already have the values of the file.
    pub merge: TableMerge,
    /// The current version of the table.
    pub version: TableVersion,
}

impl EditPlan {
    /// Merges a file into a snapshot.
    ///
    /// # Errors
    ///
    /// When the version that the file is based on can't be found.
    pub async fn make<S: RowStore>(
        repository: &TableRepository<S>,
        snapshot: &TableSnapshot,
        arguments: &FileArguments,
        file: &TableFile,
    ) -> Result<Self, TableCliError> {
        let version = snapshot.version();
        let base = arguments.base_of(file, version)?;
        let rows = repository.rows_at(snapshot, base).await;
        let rows = rows.context(PlatformSnafu)?;
        let merge = merge_rows(&rows, &file.rows, &snapshot.table.live_rows());
        Ok(Self {
            base,
            merge,
            version,
        })
    }

    /// Prints the changes, with notes on names that no listed instance has.
    ///
    /// # Errors
    ///
    /// When the output can't be written, or there are conflicts; they are printed first.
    pub fn print(&self, instances: &[InstanceRecord]) -> Result<(), TableCliError> {
        print_text(&changes_text(&self.merge.changes))?;
        print_text(&name_notes(&self.merge.changes, instances).concat())?;
        if !self.merge.unchanged.is_empty() {
            let settled = self.merge.unchanged.join(" ");
            print_text(&format!("already so: {settled}\n"))?;
        }
        match self.merge.conflicts.is_empty() {
            true => Ok(()),
            false => refuse_conflicts(&self.merge.conflicts, self.version),
        }
    }
}

/// Prints conflicts and returns them as an error.
///
/// # Errors
///
/// Always.
pub fn refuse_conflicts(
    conflicts: &[RowConflict],
    version: TableVersion,
) -> Result<(), TableCliError> {
    print_text(&conflicts_text(conflicts))?;
    let count = conflicts.len();
    ConflictSnafu { count, version }.fail()
}
