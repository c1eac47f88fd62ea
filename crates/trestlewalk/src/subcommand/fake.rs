//! `trestlewalk fake`.

use crate::{RunError, run_error::UnwiredSnafu};

/// What `fake` can do.
#[derive(clap::Subcommand, Debug)]
pub enum FakeCommand {
    /// Run a model engine.
    Engine,
    /// Run the platform.
    Platform,
    /// Run a plain service.
    Service,
}

impl FakeCommand {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Always, until it is wired.
    pub fn run(self) -> Result<(), RunError> {
        UnwiredSnafu { subcommand: "fake" }.fail()
    }
}
