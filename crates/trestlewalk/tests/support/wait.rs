//! Waits for a condition by asking for it again.

use std::{
    future::Future,
    time::{Duration, Instant},
};

/// After so long a wait gives up; generous, so that a busy machine fails no test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Waits for an outcome, and panics when none comes.
pub async fn wait_for<T>(what: &str, work: impl Future<Output = T>) -> T {
    match tokio::time::timeout(WAIT_TIMEOUT, work).await {
        Ok(outcome) => outcome,
        Err(_) => panic!("waited in vain: {what}"),
    }
}
