//! A prefill engine as it truly is.

use {
    crate::world::{prefix_cache::PrefixCache, reading_state::ReadingIndex},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// The prompt that is being read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadingTurn {
    pub(crate) ends: Instant,
    pub(crate) reading: ReadingIndex,
    pub(crate) since: Instant,
    /// Prompt tokens to read, those in the prefix cache left out.
    pub(crate) tokens: u32,
}

/// Reads one prompt after the other.
#[derive(Debug)]
pub(crate) struct PrefillEngine {
    pub(crate) alive: bool,
    pub(crate) cache: PrefixCache,
    pub(crate) leaving: bool,
    pub(crate) queue: VecDeque<ReadingIndex>,
    pub(crate) rate: f64,
    pub(crate) turn: Option<ReadingTurn>,
}

impl PrefillEngine {
    pub(crate) fn new(rate: f64, cache_blocks: usize) -> Self {
        Self {
            alive: true,
            cache: PrefixCache::new(cache_blocks),
            leaving: false,
            queue: VecDeque::new(),
            rate,
            turn: None,
        }
    }

    /// How long the engine reads `tokens`.
    pub(crate) fn reading_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.rate)
    }
}

impl ReadingTurn {
    /// Tokens read by `now`.
    pub(crate) fn tokens_read(&self, now: Instant) -> u32 {
        let whole = (self.ends - self.since).as_secs_f64();
        if now >= self.ends || whole <= 0.0 {
            return self.tokens;
        }
        let part = now.saturating_duration_since(self.since).as_secs_f64() / whole;
        (f64::from(self.tokens) * part) as u32
    }
}
