//! The path bench: what an entry instance adds to a request, measured on the real process over loopback.

pub mod child_entry;
pub mod closed_loop;
pub mod path_command;
pub mod path_report;
pub mod path_world;
pub mod process_probe;

pub use path_command::{EntryCommand, PathCommand};
