//! What the binary can do, a subcommand a file.

pub mod check;
pub mod demo;
pub mod dump;
pub mod explain;
pub mod fake;
pub mod keys;
pub mod relay;
pub mod serve;
pub mod table;
pub mod ticket;

use {
    self::{
        check::CheckCommand, demo::DemoCommand, dump::DumpCommand, explain::ExplainCommand,
        fake::FakeCommand, keys::KeysCommand, relay::RelayCommand, serve::ServeCommand,
        table::TableCommand, ticket::TicketCommand,
    },
    crate::RunError,
};

/// One subcommand with its arguments.
#[derive(Debug, clap::Subcommand)]
pub enum Subcommand {
    /// Check a settings file or a table, and print every fault.
    Check(CheckCommand),
    /// Run a small day of work through a whole system in one process.
    Demo(DemoCommand),
    /// Print the whole state of a running instance as JSON.
    Dump(DumpCommand),
    /// Tell the story of one request from the logs of instances.
    Explain(ExplainCommand),
    /// Run a stand-in of the platform, an engine or a plain service.
    #[command(subcommand)]
    Fake(FakeCommand),
    /// Make keys that instances trust each other by, for trials.
    Keys(KeysCommand),
    /// Run an instance that serves the operators' routes by its own view, until it is told to close.
    Relay(RelayCommand),
    /// Run an entry instance until it is told to close.
    Serve(ServeCommand),
    /// Read and edit the operators' table.
    #[command(subcommand)]
    Table(TableCommand),
    /// Mint or use a ticket that makes a request run at most once.
    #[command(subcommand)]
    Ticket(TicketCommand),
}

impl Subcommand {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Whatever stopped it, with the exit code that `docs/CODES.md` lists.
    pub fn run(self) -> Result<(), RunError> {
        match self {
            Self::Check(command) => command.run(),
            Self::Demo(command) => command.run(),
            Self::Dump(command) => command.run(),
            Self::Explain(command) => command.run(),
            Self::Fake(command) => command.run(),
            Self::Keys(command) => command.run(),
            Self::Relay(command) => command.run(),
            Self::Serve(command) => command.run(),
            Self::Table(command) => command.run(),
            Self::Ticket(command) => command.run(),
        }
    }
}
