//! Waits that poll a condition or time out.

use std::{
    future::Future,
    time::{Duration, Instant},
};

/// The timeout of every wait; long, so that tests don't fail under heavy CPU load.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "timed out waiting until: {what}");
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Waits for a future and panics when it takes longer than [`WAIT_TIMEOUT`].
pub async fn wait_for<T>(what: &str, work: impl Future<Output = T>) -> T {
    match tokio::time::timeout(WAIT_TIMEOUT, work).await {
        Ok(outcome) => outcome,
        Err(_) => panic!("timed out waiting for: {what}"),
    }
}
