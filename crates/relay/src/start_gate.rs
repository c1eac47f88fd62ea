//! Holds requests until an instance that has just started has its first routes.
//!
//! An instance that restarts under load gets requests within milliseconds, while the store takes some tens of
//! milliseconds to answer its first reads. A caller that is refused in between retries after half a second, which is
//! too late for most targets and costs one of its tries. When all instances restarted, 6 to 16 requests arrived in the
//! 20 to 66 ms before the first routes.

use {
    std::time::Duration,
    tokio::{
        sync::watch,
        time::{self, Instant},
    },
};

/// How long requests wait after the start: several times what a healthy store takes for the first routes and upstreams.
/// After that an outage may last long, and requests are refused at once.
const STARTUP_WAIT: Duration = Duration::from_millis(300);

/// Opens once the routes and the upstreams have been read, and stays open.
#[derive(Debug)]
pub struct StartGate {
    is_open: watch::Sender<bool>,
    started: Instant,
}

impl StartGate {
    /// The closed gate of a process that starts now.
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

    /// Waits until the gate opens, without a timeout.
    pub async fn wait_open(&self) {
        // The sender lives as long as `self`, so the wait ends only when the gate opens.
        let _ = self.is_open.subscribe().wait_for(|is_open| *is_open).await;
    }

    /// Waits until the gate opens, or until the startup wait is over.
    pub async fn wait_at_startup(&self) {
        if *self.is_open.borrow() {
            return;
        }
        let limit = self.started + STARTUP_WAIT;
        if time::timeout_at(limit, self.wait_open()).await.is_err() {
            tracing::debug!("no routes were read within the startup wait");
        }
    }
}

impl Default for StartGate {
    fn default() -> Self {
        Self::new()
    }
}
