//! The entry instance: what `serve` runs, from the first socket to the last step of closing.

pub mod close_report;
pub mod close_steps;
pub mod entry_identity;
pub mod entry_parts;
pub mod entry_process;
pub mod entry_sockets;
pub mod key_files;
pub mod log_setup;
pub mod process_plugin;
pub mod process_signals;
pub mod ready_line;
pub mod request_path;

pub use {
    close_report::CloseReport, close_steps::CloseSteps, entry_identity::EntryIdentity,
    entry_parts::EntryParts, entry_process::EntryProcess, entry_sockets::EntrySockets,
    key_files::load_keys, process_signals::ProcessSignals, ready_line::ReadyLine,
    request_path::RequestPath,
};
