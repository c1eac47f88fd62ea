//! The signals that make a process close or reload its settings.

use {
    crate::{RunError, run_error::RuntimeSnafu},
    snafu::ResultExt,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// What a signal requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// Close gracefully.
    Close,
    /// Reload the settings.
    Reload,
}

/// Receives SIGTERM, SIGINT and SIGHUP.
#[derive(Debug)]
pub struct ProcessSignals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl ProcessSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// The operating system refuses the handlers.
    pub fn new() -> Result<Self, RunError> {
        Ok(Self {
            hangup: signal(SignalKind::hangup()).context(RuntimeSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(RuntimeSnafu)?,
            terminate: signal(SignalKind::terminate()).context(RuntimeSnafu)?,
        })
    }

    /// Waits for the next signal: SIGHUP requests a reload, the others a close.
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

    /// Waits for the next SIGTERM or SIGINT.
    pub async fn wait_close(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
