//! The command line.

use {
    crate::{bench_error::BenchError, node_command::NodeCommand, policy_command::PolicyCommand},
    clap::{Parser, Subcommand},
    std::process::ExitCode,
};

#[derive(Debug, Parser)]
#[command(about = "Experiments and load for trestlewalk", name = "bench")]
struct BenchArguments {
    #[command(subcommand)]
    command: BenchCommand,
}

/// Every subcommand; each has its own file.
#[derive(Debug, Subcommand)]
enum BenchCommand {
    /// Measures what control costs a node.
    Node(NodeCommand),
    /// Compares admission policies in virtual time.
    Policy(PolicyCommand),
}

impl BenchCommand {
    fn run(self) -> Result<ExitCode, BenchError> {
        match self {
            Self::Node(command) => command.run(),
            Self::Policy(command) => command.run(),
        }
    }
}

/// Parses the command line and runs the subcommand that it names.
pub(crate) fn run() -> ExitCode {
    let arguments = BenchArguments::parse();
    match arguments.command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}
