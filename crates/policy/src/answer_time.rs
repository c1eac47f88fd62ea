//! How long requests of one kind of work take at most, but for a few.

use std::time::Duration;

/// The factor by which a longer request raises the time.
const RISE: f64 = 1.21;
/// The factor by which a shorter request lowers the time. Together the two settle where one in twenty takes longer.
const FALL: f64 = 0.99;
/// How much more than the quantile a request is given, since the quantile lags behind and its steps are coarse.
const MARGIN: f64 = 1.25;

/// A high quantile of the duration of answered requests, as observed by this instance.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTime {
    seconds: f64,
}

impl AnswerTime {
    /// Starts with the duration of the first request.
    pub fn new(took: Duration) -> Self {
        Self {
            seconds: took.as_secs_f64(),
        }
    }

    /// Records the duration of a request, from its call to the end of the answer.
    pub fn note(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.seconds = match took > self.seconds {
            true => (self.seconds * RISE).max(f64::EPSILON),
            false => self.seconds * FALL,
        };
    }

    /// The time within which a request is answered, but for a few.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds * MARGIN)
    }
}
