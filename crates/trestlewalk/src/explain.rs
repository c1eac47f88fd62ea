//! Telling what became of a request from the log lines of many instances.

pub mod log_line;
pub mod story_book;

pub use {log_line::LogLine, story_book::StoryBook};
