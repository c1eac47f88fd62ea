//! The settings of the log.

use serde::{Deserialize, Serialize};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    #[default]
    Text,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Steps inside a decision.
    Debug,
    /// Failures of this process.
    Error,
    /// Changes of state.
    #[default]
    Info,
    /// Every event.
    Trace,
    /// Failures of other processes.
    Warn,
}

/// The section `log`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: LogLevel,
}
