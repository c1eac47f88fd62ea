//! How long a reader that gave no answer is passed over.

use std::time::{Duration, Instant};

/// A span in which a reader is not asked.
#[derive(Clone, Copy, Debug)]
pub struct ReaderRest {
    /// Its length.
    pub span: Duration,
    until: Instant,
}

impl ReaderRest {
    /// Whether the reader may be asked again.
    pub fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// A rest that begins now.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self {
            span,
            until: now + span,
        }
    }
}
