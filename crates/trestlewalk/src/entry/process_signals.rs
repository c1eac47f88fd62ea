//! The signals that tell a process to close or to read its settings again.

use {
    crate::{RunError, run_error::RuntimeSnafu},
    snafu::ResultExt,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// Close.
    Close,
    /// Read the settings again.
    Reload,
}

/// Hears SIGTERM, SIGINT and SIGHUP.
#[derive(Debug)]
pub struct ProcessSignals {
    hangup: Signal,
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
            hangup: signal(SignalKind::hangup()).context(RuntimeSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(RuntimeSnafu)?,
            terminate: signal(SignalKind::terminate()).context(RuntimeSnafu)?,
        })
    }

    /// Waits for the next signal of any kind.
    pub async fn wait_any(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.hangup.recv() => ProcessSignal::Reload,
            () = async {
                tokio::select! {
                    _ = self.interrupt.recv() => {}
                    _ = self.terminate.recv() => {}
                }
            } => ProcessSignal::Close,
        }
    }

    /// Waits for the next signal to close.
    pub async fn wait_close(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
