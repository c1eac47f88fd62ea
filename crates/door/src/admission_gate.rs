//! Counts the open requests, and lets none in once the instance closes.

use {
    kernel::{ResultCode, ShutdownSignal},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    tokio::sync::Notify,
};

/// Lets requests in, up to a limit, until it is shut.
#[derive(Debug)]
pub struct AdmissionGate {
    drained: Notify,
    limit: usize,
    open: AtomicUsize,
    closed: ShutdownSignal,
}

/// The right of one request to be worked on; given back when dropped.
#[derive(Debug)]
pub struct GatePass {
    gate: Arc<AdmissionGate>,
}

impl AdmissionGate {
    /// Waits until no request is open.
    pub async fn wait_drained(&self) {
        loop {
            let drained = self.drained.notified();
            if self.open() == 0 {
                return;
            }
            drained.await;
        }
    }

    /// Lets one request in.
    ///
    /// # Errors
    ///
    /// The code of the refusal, when the gate is shut or full.
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

    /// An open gate.
    pub fn new(limit: usize) -> Self {
        Self {
            drained: Notify::new(),
            limit,
            open: AtomicUsize::new(0),
            closed: ShutdownSignal::new(),
        }
    }

    /// How many requests are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Lets no further request in.
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
