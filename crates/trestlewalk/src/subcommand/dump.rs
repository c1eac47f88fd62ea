//! `trestlewalk dump`.

use {
    crate::{RunError, run_error::UnwiredSnafu},
    clap::Args,
};

/// The arguments of `dump`.
#[derive(Args, Debug)]
pub struct DumpCommand {
    /// The admin address of the instance, `IP:port`.
    pub address: std::net::SocketAddr,
}

impl DumpCommand {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Always, until it is wired.
    pub fn run(self) -> Result<(), RunError> {
        UnwiredSnafu { subcommand: "dump" }.fail()
    }
}
