//! How many repeated calls one instance may send to a service, so that all instances together stay in the budget.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The part of the ratio that an instance uses. Repeats may fall into a window that the requests which paid for them have
/// just left; the rest covers this. The fuzz over all instances fails at 1 and holds here. So much of the slack, too: an
/// instance may know of one that came or went a few seconds later.
const SAFE_SHARE: f64 = 0.7;

/// The bounds of a [`RetryWindow`].
#[derive(Clone, Copy, Debug, PartialEq, bon::Builder)]
pub struct RetryBounds {
    /// Repeated calls for each request of the window.
    pub ratio: f64,
    /// Repeated calls beyond that, of all instances together.
    pub slack: f64,
    /// The length of the window, which slides.
    pub window: Duration,
}

/// Counts the requests and the repeated calls of one service in a sliding window.
///
/// Each instance keeps its repeats under `ratio` times its own requests plus an equal part of the shared slack, so the sum
/// over all instances stays in the budget without a message between them.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    /// When this life of the instance began. The life before it may have used the slack a moment earlier, so there is none
    /// for the length of a window.
    born: Instant,
    repeats: VecDeque<Instant>,
    requests: VecDeque<Instant>,
}

impl RetryWindow {
    /// An empty window of a life that began at `born`.
    pub fn new(born: Instant) -> Self {
        Self {
            born,
            repeats: VecDeque::new(),
            requests: VecDeque::new(),
        }
    }

    /// A request came in.
    pub fn note_request(&mut self, bounds: &RetryBounds, now: Instant) {
        self.forget(bounds.window, now);
        self.requests.push_back(now);
    }

    /// Takes one repeated call out of the budget; `false` when there is none left. `instances` is how many share the slack;
    /// while that is not known, this one has no part of it.
    #[must_use]
    pub fn take(&mut self, bounds: &RetryBounds, instances: Option<usize>, now: Instant) -> bool {
        self.forget(bounds.window, now);
        let funded = bounds.ratio * SAFE_SHARE * self.requests.len() as f64;
        let is_settled = now.saturating_duration_since(self.born) >= bounds.window;
        let most = match is_settled {
            true => funded + own_slack(bounds, instances),
            false => funded,
        };
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

fn own_slack(bounds: &RetryBounds, instances: Option<usize>) -> f64 {
    instances.map_or(0.0, |count| bounds.slack * SAFE_SHARE / count.max(1) as f64)
}
