//! The subcommands of the binary, one per file.

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
    /// Run a complete system in one process under the load of a short simulated day.
    Demo(DemoCommand),
    /// Print the state of a running instance as JSON.
    Dump(DumpCommand),
    /// Trace one request through the logs of instances.
    Explain(ExplainCommand),
    /// Run a stand-in of the platform, an engine or a plain service.
    #[command(subcommand)]
    Fake(FakeCommand),
    /// Make keys by which instances authenticate each other, for tests.
    Keys(KeysCommand),
    /// Run an instance that serves the operators' routes without an allocator, until a signal closes it.
    Relay(RelayCommand),
    /// Run an entry instance until a signal closes it.
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
    /// The reason of the failure; it has an exit code that `docs/CODES.md` lists.
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
