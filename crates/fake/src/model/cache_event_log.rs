//! Cache events that an engine publishes with a delay and with gaps.

use {
    super::prefix_cache::CacheChange,
    engine::wire::CacheEvents,
    kernel::BlockHash,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Events kept; older ones are dropped.
const MAX_LOG_ENTRIES: usize = 65_536;

#[derive(Clone, Debug)]
struct CacheEventEntry {
    block: BlockHash,
    occurred_at: Instant,
    sequence: u64,
    is_stored: bool,
}

/// Published events in order of their sequence numbers.
#[derive(Clone, Debug)]
pub(super) struct CacheEventLog {
    delay: Duration,
    entries: VecDeque<CacheEventEntry>,
    gap_probability: f64,
    rng: Pcg64Mcg,
    sequence: u64,
}

impl CacheEventLog {
    /// Returns the events after a sequence number whose publication delay has passed.
    pub(super) fn events(&self, now: Instant, after: u64) -> CacheEvents {
        let mut events = CacheEvents {
            next: after,
            ..CacheEvents::default()
        };
        for entry in &self.entries {
            if entry.sequence <= after {
                continue;
            }
            if entry.occurred_at + self.delay > now {
                break;
            }
            events.next = entry.sequence;
            match entry.is_stored {
                false => events.evicted.push(entry.block),
                true => events.stored.push(entry.block),
            }
        }
        events
    }

    /// Creates an empty log that publishes events after `delay` and drops each with `gap_probability`.
    pub(super) fn new(delay: Duration, gap_probability: f64, seed: u64) -> Self {
        Self {
            delay,
            entries: VecDeque::new(),
            gap_probability: gap_probability.clamp(0.0, 1.0),
            rng: Pcg64Mcg::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Records the evicted and stored blocks of a change.
    pub(super) fn record(&mut self, now: Instant, change: &CacheChange) {
        for block in &change.evicted {
            self.push(now, *block, false);
        }
        for block in &change.stored {
            self.push(now, *block, true);
        }
    }

    fn push(&mut self, occurred_at: Instant, block: BlockHash, is_stored: bool) {
        self.sequence += 1;
        if self.rng.random_bool(self.gap_probability) {
            return;
        }
        self.entries.push_back(CacheEventEntry {
            block,
            occurred_at,
            sequence: self.sequence,
            is_stored,
        });
        if self.entries.len() > MAX_LOG_ENTRIES {
            self.entries.pop_front();
        }
    }
}
