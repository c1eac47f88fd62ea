//! Lets requests wait for the first routes of an instance that has just started.
//!
//! An instance that starts again under load is called within milliseconds, and the store answers its first questions some
//! tens of milliseconds later. A caller that is refused in between comes back after half a second, too late for most
//! targets, and has used up a try. Counted after all instances started
//! again: 6 to 16 requests came in the 20 to 66 ms before the first routes.

use {
    std::time::Duration,
    tokio::{
        sync::watch,
        time::{self, Instant},
    },
};

/// How long after the start requests wait: several times what the store takes for the first routes and upstreams when it
/// is well. After that it may be away for long, and requests are refused at once.
const STARTUP_WAIT: Duration = Duration::from_millis(300);

/// Opens when the routes and the upstreams were read once, and stays open.
#[derive(Debug)]
pub struct StartGate {
    is_open: watch::Sender<bool>,
    started: Instant,
}

impl StartGate {
    /// A gate of a process that starts now.
    pub fn new() -> Self {
        Self {
            is_open: watch::Sender::new(false),
            started: Instant::now(),
        }
    }

    /// Opens the gate.
    pub fn open(&self) {
        self.is_open.send_replace(true);
    }

    /// Waits until the gate opens, however long it takes.
    pub async fn wait_open(&self) {
        // The sender lives as long as this, so the wait ends only with the gate open.
        let _ = self.is_open.subscribe().wait_for(|is_open| *is_open).await;
    }

    /// Waits until the gate opens, or the process is no longer young.
    pub async fn wait_at_startup(&self) {
        if *self.is_open.borrow() {
            return;
        }
        let limit = self.started + STARTUP_WAIT;
        if time::timeout_at(limit, self.wait_open()).await.is_err() {
            tracing::debug!("the first routes are late");
        }
    }
}

impl Default for StartGate {
    fn default() -> Self {
        Self::new()
    }
}
