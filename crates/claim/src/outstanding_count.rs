//! Counts minted tickets that have a record or may still get one.

use std::{collections::BTreeMap, time::Duration};

const SECOND_MS: u64 = 1000;

/// Counts minted tickets by the second of their expiry.
#[derive(Debug, Default)]
pub(crate) struct OutstandingCount {
    seconds: BTreeMap<u64, usize>,
    pub(crate) total: usize,
}

impl OutstandingCount {
    /// Adds a ticket with this expiry.
    pub(crate) fn add(&mut self, expiry: Duration) {
        *self.seconds.entry(expiry.as_secs()).or_default() += 1;
        self.total += 1;
    }

    /// Removes the tickets with an expiry below `swept_ms`, whose records have been removed.
    pub(crate) fn sweep(&mut self, swept_ms: u64) {
        while let Some(entry) = self.seconds.first_entry() {
            if (entry.key() + 1) * SECOND_MS > swept_ms {
                break;
            }
            self.total -= entry.remove();
        }
    }
}
