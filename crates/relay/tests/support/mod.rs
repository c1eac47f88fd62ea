//! What several test files use.

use {relay::ConnectionTimeouts, std::time::Duration};

/// Timeouts that no test reaches.
pub(crate) fn ample_timeouts() -> ConnectionTimeouts {
    ConnectionTimeouts::builder()
        .connect(Duration::from_secs(5))
        .peer_timeout(Duration::from_secs(5))
        .build()
}
