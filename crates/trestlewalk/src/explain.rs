//! Traces one request through the log lines of many instances.

pub mod log_line;
pub mod request_trace;

pub use {log_line::LogLine, request_trace::RequestTrace};
