//! One connection that reads a run's tokens.

use super::{engine_driver::EngineDriver, engine_event::EngineEvent, engine_run::RunId};

/// Tells the engine that the connection is gone, unless the run ended first.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    driver: EngineDriver,
    run: RunId,
}

impl ConnectionGuard {
    /// A guard of one connection that the engine counts already.
    pub(super) fn new(driver: EngineDriver, run: RunId) -> Self {
        Self { driver, run }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.driver.handle(EngineEvent::Disconnected(self.run));
    }
}
