//! `trestlewalk serve`.

use {
    crate::{RunError, run_error::UnwiredSnafu},
    clap::Args,
};

/// The arguments of `serve`.
#[derive(Args, Debug)]
pub struct ServeCommand {
    /// Overrides one setting, such as `--set limits.body=2MiB`.
    #[arg(long, value_name = "FIELD=VALUE")]
    pub set: Vec<String>,
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    pub settings: std::path::PathBuf,
}

impl ServeCommand {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Always, until it is wired.
    pub fn run(self) -> Result<(), RunError> {
        UnwiredSnafu {
            subcommand: "serve",
        }
        .fail()
    }
}
