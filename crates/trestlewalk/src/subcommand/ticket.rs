//! `trestlewalk ticket`.

pub mod mint;
pub mod ticket_call;
pub mod use_ticket;

use {
    self::{mint::MintCommand, use_ticket::UseCommand},
    crate::RunError,
};

/// The subcommands of `ticket`.
#[derive(clap::Subcommand, Debug)]
pub enum TicketCommand {
    /// Mint a ticket and print it.
    Mint(MintCommand),
    /// Send a request under a ticket and print its answer; the same ticket never runs it twice.
    Use(UseCommand),
}

impl TicketCommand {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// No complete answer came, or one with another result code than 1000.
    pub fn run(self) -> Result<(), RunError> {
        match self {
            Self::Mint(command) => command.run(),
            Self::Use(command) => command.run(),
        }
    }
}
