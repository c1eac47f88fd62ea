//! What calls of one kind of work usually take.

use std::time::Duration;

/// The factor by which a longer call raises the time.
const RISE: f64 = 1.02;
/// The factor by which a shorter call lowers the time. Together the two settle where a third of the calls are shorter,
/// so that upstreams that have become slow do not raise the time unless they answer most calls.
const FALL: f64 = 0.96;

/// A low quantile of the duration of calls, as observed by this instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsualTime {
    seconds: f64,
}

impl UsualTime {
    /// Starts with the duration of the first call.
    pub(crate) fn new(took: Duration) -> Self {
        Self {
            seconds: took.as_secs_f64(),
        }
    }

    /// Records a call; returns its duration as a multiple of the usual one.
    pub(crate) fn note(&mut self, took: Duration) -> f64 {
        let took = took.as_secs_f64();
        let slowdown = match self.seconds > 0.0 {
            true => took / self.seconds,
            false => 1.0,
        };
        self.seconds = match took > self.seconds {
            true => (self.seconds * RISE).max(f64::EPSILON),
            false => self.seconds * FALL,
        };
        slowdown
    }
}
