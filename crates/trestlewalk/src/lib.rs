//! The `trestlewalk` binary: its command line, its settings, its admin server, and the processes that it runs.
//!
//! [`entry::EntryProcess`] starts the parts of an entry instance and closes them in order.

pub mod admin;
pub mod arguments;
pub mod client;
pub mod demo;
pub mod entry;
pub mod exit_code;
pub mod explain;
pub mod run;
pub mod run_error;
pub mod settings;
pub mod subcommand;
pub mod text_output;

pub use {arguments::CliArguments, run::run, run_error::RunError, settings::EntrySettings};
