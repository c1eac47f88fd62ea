//! The pool of workers that carries a process's background work, closed as one.

use {
    crate::shutdown_signal::ShutdownSignal,
    std::{future::Future, time::Duration},
    tokio_util::task::TaskTracker,
};

/// Runs background tasks until the close signal; closing waits for them.
#[derive(Clone, Debug, Default)]
pub struct WorkerPool {
    signal: ShutdownSignal,
    tracker: TaskTracker,
}

impl WorkerPool {
    /// Raises the signal and waits for all workers; `false` when `limit` ended the wait.
    pub async fn close(self, limit: Duration) -> bool {
        self.signal.raise();
        self.tracker.close();
        tokio::time::timeout(limit, self.tracker.wait())
            .await
            .is_ok()
    }

    /// An empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// The signal that the workers watch.
    pub fn signal(&self) -> ShutdownSignal {
        self.signal.clone()
    }

    /// Starts a worker that ends by itself or is dropped at the close signal.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let signal = self.signal.clone();
        self.tracker.spawn(async move {
            tokio::select! {
              () = signal.raised() => {}
              () = work => {}
            }
        });
    }

    /// Starts a worker that watches the signal itself and is waited for at close.
    pub fn spawn_watching(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.tracker.spawn(work);
    }
}
