//! The entry point of the binary.

use {
    crate::{CliArguments, exit_code},
    clap::Parser,
    kernel::ResultCode,
    std::process::ExitCode,
};

/// Runs the command line and returns an exit code that `docs/CODES.md` lists. Errors go to standard error.
pub fn run() -> ExitCode {
    let arguments = CliArguments::parse();
    match arguments.subcommand.run() {
        Ok(()) => ExitCode::from(exit_code::of(ResultCode::Answered)),
        Err(error) => {
            eprintln!("{error}");
            if let Some(code) = error.code() {
                eprintln!("error {}: {}", code.number(), code.text());
            }
            ExitCode::from(error.exit_code())
        }
    }
}
