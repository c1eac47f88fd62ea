//! Limits the number of open requests and refuses new ones during shutdown.

use {
    kernel::{ResultCode, ShutdownSignal},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    tokio::sync::Notify,
};

/// Admits requests up to a limit until it is closed.
#[derive(Debug)]
pub struct AdmissionGate {
    drained: Notify,
    limit: usize,
    open: AtomicUsize,
    closed: ShutdownSignal,
}

/// Counts one request as open until it is dropped.
#[derive(Debug)]
pub struct GatePass {
    gate: Arc<AdmissionGate>,
}

impl AdmissionGate {
    /// Waits until no requests are open.
    pub async fn wait_drained(&self) {
        loop {
            let drained = self.drained.notified();
            if self.open() == 0 {
                return;
            }
            drained.await;
        }
    }

    /// Admits one request.
    ///
    /// # Errors
    ///
    /// [`ResultCode::Closing`] if the gate is closed, [`ResultCode::QueueFull`] if the limit is reached.
    pub fn enter(self: &Arc<Self>) -> Result<GatePass, ResultCode> {
        let before = self.open.fetch_add(1, Ordering::AcqRel);
        let pass = GatePass { gate: self.clone() };
        if self.closed.is_raised() {
            return Err(ResultCode::Closing);
        }
        if before >= self.limit {
            return Err(ResultCode::QueueFull);
        }
        Ok(pass)
    }

    /// Creates a gate that admits up to `limit` requests at once.
    pub fn new(limit: usize) -> Self {
        Self {
            drained: Notify::new(),
            limit,
            open: AtomicUsize::new(0),
            closed: ShutdownSignal::new(),
        }
    }

    /// The number of open requests.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Refuses all further requests.
    pub fn close(&self) {
        self.closed.raise();
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        if self.gate.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.gate.drained.notify_waiters();
        }
    }
}
