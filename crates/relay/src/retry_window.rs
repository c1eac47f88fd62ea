//! How many repeated calls one instance may send to a service, so that all instances together stay in the budget.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The bounds of a [`RetryWindow`].
#[derive(Clone, Copy, Debug, PartialEq, bon::Builder)]
pub struct RetryBounds {
    /// Repeated calls for each request of the window.
    pub ratio: f64,
    /// Repeated calls beyond that: this instance's part of what all instances share.
    pub slack: f64,
    /// The length of the window, which slides.
    pub window: Duration,
}

/// Counts the requests and the repeated calls of one service in a sliding window.
///
/// Each instance keeps its repeats under `ratio` times its own requests plus its part of the shared slack, so the sum
/// over all instances stays in the budget without a message between them.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    repeats: VecDeque<Instant>,
    requests: VecDeque<Instant>,
}

impl RetryWindow {
    /// A request came in.
    pub fn note_request(&mut self, bounds: &RetryBounds, now: Instant) {
        self.forget(bounds.window, now);
        self.requests.push_back(now);
    }

    /// Takes one repeated call out of the budget; `false` when there is none left.
    #[must_use]
    pub fn take(&mut self, bounds: &RetryBounds, now: Instant) -> bool {
        self.forget(bounds.window, now);
        let most = bounds.ratio * self.requests.len() as f64 + bounds.slack;
        if (self.repeats.len() + 1) as f64 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, window: Duration, now: Instant) {
        for list in [&mut self.repeats, &mut self.requests] {
            while let Some(first) = list.front() {
                if now.saturating_duration_since(*first) < window {
                    break;
                }
                list.pop_front();
            }
        }
    }
}
