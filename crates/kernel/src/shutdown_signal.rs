//! The signal that a process is shutting down.

use tokio_util::sync::CancellationToken;

/// Tells every task that the process is shutting down. Clones share one signal.
#[derive(Clone, Debug, Default)]
pub struct ShutdownSignal {
    token: CancellationToken,
}

impl ShutdownSignal {
    /// Whether the signal has been raised; it is never lowered again.
    pub fn is_raised(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Creates a signal that is not raised.
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal for all clones.
    pub fn raise(&self) {
        self.token.cancel();
    }

    /// Waits until the signal is raised.
    pub async fn raised(&self) {
        self.token.cancelled().await;
    }
}
