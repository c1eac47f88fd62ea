//! A candidate decode engine for one request.

use kernel::UpstreamId;

/// The load and speed of one decode engine.
#[derive(Clone, Copy, Debug)]
pub struct DecodeOption<'a> {
    /// How many more streams it can accept.
    pub free: u32,
    /// Streams running there or already assigned to it.
    pub used: u32,
    /// Time between tokens with a single running stream, seconds.
    pub base_seconds: f64,
    /// Increase of the time between tokens per additional stream, seconds.
    pub slope_seconds: f64,
    /// The candidate.
    pub upstream: &'a UpstreamId,
}

impl DecodeOption<'_> {
    /// The predicted time between tokens with one more stream running there, seconds.
    pub fn step_seconds(&self) -> f64 {
        self.base_seconds + self.slope_seconds * f64::from(self.used)
    }
}
