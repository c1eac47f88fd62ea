//! `trestlewalk check`.

use {
    crate::{RunError, run_error::UnwiredSnafu},
    clap::Args,
};

/// The arguments of `check`.
#[derive(Args, Debug)]
pub struct CheckCommand {
    /// The settings (`.yaml`) or the table (`.csv`).
    pub file: std::path::PathBuf,
}

impl CheckCommand {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Always, until it is wired.
    pub fn run(self) -> Result<(), RunError> {
        UnwiredSnafu {
            subcommand: "check",
        }
        .fail()
    }
}
