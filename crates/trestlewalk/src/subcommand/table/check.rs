//! `trestlewalk table check`.

use {
    super::{file_arguments::load_file, table_cli_error::TableCliError, text_output::print_text},
    clap::Args,
    std::path::PathBuf,
};

/// The arguments of `table check`.
#[derive(Args, Debug)]
pub struct CheckCommand {
    /// The table file, CSV; `-` is the standard input.
    pub file: PathBuf,
}

impl CheckCommand {
    /// Checks the whole file, and prints a line when it has no faults.
    ///
    /// # Errors
    ///
    /// When the file can't be read or has faults; the error lists them all.
    pub fn execute(self) -> Result<(), TableCliError> {
        let file = load_file(&self.file)?;
        let version = match file.base {
            Some(base) => format!("taken from version {}", base.version),
            None => "without a version line".to_owned(),
        };
        let name = self.file.display();
        print_text(&format!(
            "{name}: {} rows, {version}: no faults\n",
            file.rows.len()
        ))
    }
}
