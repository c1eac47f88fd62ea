//! `trestlewalk ticket`.

use crate::{RunError, run_error::UnwiredSnafu};

/// What `ticket` can do.
#[derive(clap::Subcommand, Debug)]
pub enum TicketCommand {
    /// Mint a ticket.
    Mint,
    /// Send a request under a ticket.
    Use,
}

impl TicketCommand {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Always, until it is wired.
    pub fn run(self) -> Result<(), RunError> {
        UnwiredSnafu {
            subcommand: "ticket",
        }
        .fail()
    }
}
