//! Logging to standard error, as text or as JSON.

use {
    crate::settings::{LogFormat, LogLevel, LogSettings},
    std::io,
    tracing::level_filters::LevelFilter,
};

/// Sends the log lines of this process to standard error. A second call changes nothing.
pub fn start_log(log: &LogSettings) {
    let builder = tracing_subscriber::fmt()
        .with_max_level(level_filter(log.level))
        .with_writer(io::stderr);
    let outcome = match log.format {
        LogFormat::Json => builder.json().try_init(),
        LogFormat::Text => builder.with_ansi(false).try_init(),
    };
    if let Err(error) = outcome {
        tracing::debug!(%error, "the log is already started");
    }
}

/// The filter that passes lines of a level and of more severe ones.
pub fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Trace => LevelFilter::TRACE,
        LogLevel::Warn => LevelFilter::WARN,
    }
}
