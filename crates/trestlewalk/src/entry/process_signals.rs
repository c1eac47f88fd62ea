//! The signals that tell a process to close.

use {
    crate::{RunError, run_error::RuntimeSnafu},
    snafu::ResultExt,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Hears SIGTERM and SIGINT.
#[derive(Debug)]
pub struct ProcessSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl ProcessSignals {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// The system refuses the handlers.
    pub fn new() -> Result<Self, RunError> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt()).context(RuntimeSnafu)?,
            terminate: signal(SignalKind::terminate()).context(RuntimeSnafu)?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
