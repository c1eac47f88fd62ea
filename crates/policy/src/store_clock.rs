//! Maps the monotonic clock of the store to the local one, to date answers that the store delays.
//!
//! A watch is answered up to seconds after it was sent. By itself, its answer can only be assumed to be as old as the
//! question. The clock of the store, which is part of each answer, shows when the answer was really sent.

use std::time::{Duration, Instant};

/// The resolution of the clock of the store, which is rounded to whole milliseconds.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);

/// A reading of the clock of the store, taken at the local time `at` or later.
#[derive(Clone, Copy, Debug)]
struct ClockAnchor {
    at: Instant,
    store: Duration,
}

/// Converts times of the store to local times.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    anchor: Option<ClockAnchor>,
}

impl StoreClock {
    /// A lower bound of the local time at which the store sent an answer. The question was sent at `asked`, the answer
    /// received at `received`, and `store` is the clock of the store in the answer. The result is never before `asked`.
    pub fn answer_time(&self, store: Duration, asked: Instant, received: Instant) -> Instant {
        let Some(anchor) = self.anchor else {
            return asked;
        };
        let Some(elapsed) = store.checked_sub(anchor.store + CLOCK_RESOLUTION) else {
            return asked;
        };
        (anchor.at + elapsed).clamp(asked, received)
    }

    /// The clock of the store at a local time. It is too late by the time that the store took for an answer at most; `None`
    /// before the first answer.
    pub fn store_time(&self, at: Instant) -> Option<Duration> {
        let anchor = self.anchor?;
        Some(anchor.store + at.saturating_duration_since(anchor.at))
    }

    /// Records an answer that the store sent without delay. It replaces earlier ones, since clocks drift.
    pub fn note_answer(&mut self, store: Duration, asked: Instant) {
        self.anchor = Some(ClockAnchor { at: asked, store });
    }
}
