//! Runs the steps of a close.

use std::{
    future::Future,
    time::{Duration, Instant},
};

/// Runs the steps of a close one after the other and keeps the deadline that they share.
#[derive(Debug)]
pub struct CloseSteps {
    deadline: Instant,
}

impl CloseSteps {
    /// The time until the deadline; zero once it has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Starts a close with a deadline in `limit` from now.
    pub fn new(limit: Duration) -> Self {
        Self {
            deadline: Instant::now() + limit,
        }
    }

    /// Runs one step, and logs how long it took.
    pub async fn run<T>(&self, step: &'static str, work: impl Future<Output = T>) -> T {
        let started = Instant::now();
        let outcome = work.await;
        let took = started.elapsed();
        tracing::info!(step, ?took, "close step done");
        outcome
    }
}
