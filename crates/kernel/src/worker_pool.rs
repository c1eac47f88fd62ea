//! The background tasks of a process, shut down together.

use {
    crate::shutdown_signal::ShutdownSignal,
    std::{future::Future, time::Duration},
    tokio_util::task::TaskTracker,
};

/// Runs background tasks until shutdown, and waits for them to end.
#[derive(Clone, Debug, Default)]
pub struct WorkerPool {
    signal: ShutdownSignal,
    tracker: TaskTracker,
}

impl WorkerPool {
    /// Raises the signal and waits for all tasks; `false` when some were still running after `limit`.
    pub async fn close(self, limit: Duration) -> bool {
        self.signal.raise();
        self.tracker.close();
        tokio::time::timeout(limit, self.tracker.wait())
            .await
            .is_ok()
    }

    /// Creates a pool without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// The signal that ends the tasks of this pool.
    pub fn signal(&self) -> ShutdownSignal {
        self.signal.clone()
    }

    /// Spawns a task that is dropped when the signal is raised.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let signal = self.signal.clone();
        self.tracker.spawn(async move {
            tokio::select! {
              () = signal.raised() => {}
              () = work => {}
            }
        });
    }

    /// Spawns a task that watches the signal itself; [`Self::close`] waits for it to end.
    pub fn spawn_watching(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.tracker.spawn(work);
    }
}
