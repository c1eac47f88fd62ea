//! The order of closing, a step a part.

use std::{
    future::Future,
    time::{Duration, Instant},
};

/// Runs the steps of a close one after the other, all within one limit.
#[derive(Debug)]
pub struct CloseSteps {
    end: Instant,
}

impl CloseSteps {
    /// What is left of the limit.
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }

    /// Starts a close that may take `limit`.
    pub fn new(limit: Duration) -> Self {
        Self {
            end: Instant::now() + limit,
        }
    }

    /// Runs one step, and logs that it is done.
    pub async fn run<T>(&self, step: &'static str, work: impl Future<Output = T>) -> T {
        let started = Instant::now();
        let outcome = work.await;
        let took = started.elapsed();
        tracing::info!(step, ?took, "close step done");
        outcome
    }
}
