//! How many calls may have run a request.

use std::sync::atomic::{AtomicU32, Ordering};

/// Counts the calls of one request that may have run it, those in progress included.
#[derive(Debug, Default)]
pub struct RunCount {
    runs: AtomicU32,
}

impl RunCount {
    /// Counts a call that is about to be sent.
    pub fn begin(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs.load(Ordering::Relaxed) > 0
    }

    /// Takes a call back that is known not to have run the request.
    pub fn take_back(&self) {
        self.runs.fetch_sub(1, Ordering::Relaxed);
    }
}
