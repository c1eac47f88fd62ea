//! What is logged, and how.

use serde::{Deserialize, Serialize};

/// The form of the log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Text,
}

/// The least grave lines that are logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Steps inside a decision.
    Debug,
    /// Faults of this process.
    Error,
    /// Changes of state.
    #[default]
    Info,
    /// Every event.
    Trace,
    /// Faults of others.
    Warn,
}

/// The section `log`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The form of the log lines.
    pub format: LogFormat,
    /// The least grave lines that are logged.
    pub level: LogLevel,
}
