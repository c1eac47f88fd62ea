//! Guard of a connection that is subscribed to a run.

use super::{engine_driver::EngineDriver, engine_event::EngineEvent, engine_run::RunId};

/// Reports the connection as lost when dropped; the engine ignores it if the run has ended.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    driver: EngineDriver,
    run: RunId,
}

impl ConnectionGuard {
    /// Creates a guard for a connection that the engine has already counted.
    pub(super) fn new(driver: EngineDriver, run: RunId) -> Self {
        Self { driver, run }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.driver.handle(EngineEvent::Disconnected(self.run));
    }
}
