//! Watches for a call that ends without an answer.

use {
    crate::{ConnectionKey, ConnectionPool},
    kernel::steady_clock,
    std::time::Instant,
};

/// Closes the idle connections to a peer that have delivered nothing since a call began, unless the call is answered.
#[derive(Debug)]
pub struct SilenceGuard<'a> {
    began: Instant,
    is_answered: bool,
    key: &'a ConnectionKey,
    pool: &'a ConnectionPool,
}

impl<'a> SilenceGuard<'a> {
    /// Watches a call that begins now.
    pub fn new(pool: &'a ConnectionPool, key: &'a ConnectionKey) -> Self {
        Self {
            began: steady_clock::now(),
            is_answered: false,
            key,
            pool,
        }
    }

    /// The call was answered, or nothing of it was written.
    pub fn close(mut self) {
        self.is_answered = true;
    }
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.pool.close_idle_before(self.key, self.began);
        }
    }
}
