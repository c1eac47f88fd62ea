//! The retry budget of one instance for one service, such that all instances together stay within the total.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The fraction of the ratio that an instance uses. Retries may fall into a window that the requests which funded them
/// have just left; the remainder covers this. The fuzz test over all instances fails at 1 and passes at this value. The
/// same fraction of the slack is used, since an instance may learn a few seconds late of one that joined or left.
const SAFE_SHARE: f64 = 0.7;

/// The bounds of a [`RetryWindow`].
#[derive(Clone, Copy, Debug, PartialEq, bon::Builder)]
pub struct RetryBounds {
    /// Retries per request in the window.
    pub ratio: f64,
    /// Retries beyond that, over all instances.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// Counts the requests and retries of one service in a sliding window.
///
/// Each instance keeps its retries below `ratio` times its own requests plus an equal share of the slack, so that the
/// sum over all instances stays within the budget without any communication.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    /// When this instance started. It may have used its slack just before a restart, so there is none during the first
    /// window.
    started: Instant,
    retries: VecDeque<Instant>,
    requests: VecDeque<Instant>,
}

impl RetryWindow {
    /// Creates an empty window for an instance that started at `started`.
    pub fn new(started: Instant) -> Self {
        Self {
            started,
            retries: VecDeque::new(),
            requests: VecDeque::new(),
        }
    }

    /// Records a request from a caller.
    pub fn note_request(&mut self, bounds: &RetryBounds, now: Instant) {
        self.expire(bounds.window, now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget; `false` when it is spent. `instances` is how many share the slack; while it
    /// is unknown, `None`, this instance has no share of it.
    #[must_use]
    pub fn take(&mut self, bounds: &RetryBounds, instances: Option<usize>, now: Instant) -> bool {
        self.expire(bounds.window, now);
        let funded = bounds.ratio * SAFE_SHARE * self.requests.len() as f64;
        let is_settled = now.saturating_duration_since(self.started) >= bounds.window;
        let limit = match is_settled {
            true => funded + slack_share(bounds, instances),
            false => funded,
        };
        if (self.retries.len() + 1) as f64 > limit {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, window: Duration, now: Instant) {
        for list in [&mut self.retries, &mut self.requests] {
            while let Some(first) = list.front() {
                if now.saturating_duration_since(*first) < window {
                    break;
                }
                list.pop_front();
            }
        }
    }
}

fn slack_share(bounds: &RetryBounds, instances: Option<usize>) -> f64 {
    instances.map_or(0.0, |count| bounds.slack * SAFE_SHARE / count.max(1) as f64)
}
