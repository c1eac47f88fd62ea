//! How long an instance that did not answer is skipped.

use std::time::{Duration, Instant};

/// A period during which an instance is not sent requests.
#[derive(Clone, Copy, Debug)]
pub struct PeerCooldown {
    /// Length of the period; the next one is derived from it.
    pub span: Duration,
    until: Instant,
}

impl PeerCooldown {
    /// Whether the instance may be asked again.
    pub fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Starts a cooldown of the given length at `now`.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self {
            span,
            until: now + span,
        }
    }
}
