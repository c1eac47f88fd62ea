//! When the store gave an answer that it held back.
//!
//! A watch is answered up to seconds after it was asked. Without more, its answer is as old as the question; the store's own
//! steady clock, which it tells with each answer, says when it was really given.

use std::time::{Duration, Instant};

/// The store tells whole milliseconds, rounded one way or the other.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// One moment by the store's clock and by the own one: it was not before `at`.
#[derive(Clone, Copy, Debug)]
struct ClockAnchor {
    at: Instant,
    store: Duration,
}

/// Translates moments of the store's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock {
    anchor: Option<ClockAnchor>,
}

impl StoreClock {
    /// A moment that was not after the one at which the store gave an answer: to a question of `asked`, received at
    /// `received`, with this reading of its clock. It is never before `asked`.
    pub fn answer_time(&self, store: Duration, asked: Instant, received: Instant) -> Instant {
        let Some(anchor) = self.anchor else {
            return asked;
        };
        let Some(later) = store.checked_sub(anchor.store + CLOCK_STEP) else {
            return asked;
        };
        (anchor.at + later).clamp(asked, received)
    }

    /// The store answered a question at once. The later of two anchors stands: clocks drift.
    pub fn note_answer(&mut self, store: Duration, asked: Instant) {
        self.anchor = Some(ClockAnchor { at: asked, store });
    }
}
