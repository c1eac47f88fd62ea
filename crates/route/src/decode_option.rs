//! One decode engine that a request may go to.

use kernel::UpstreamId;

/// What the choice of a decode engine looks at.
#[derive(Clone, Copy, Debug)]
pub struct DecodeOption<'a> {
    /// How many more streams it takes.
    pub free: u32,
    /// Streams that run or are on their way.
    pub used: u32,
    /// Between-token time at one running stream, seconds.
    pub base_seconds: f64,
    /// Between-token time added by each further stream, seconds.
    pub slope_seconds: f64,
    /// The engine.
    pub upstream: &'a UpstreamId,
}

impl DecodeOption<'_> {
    /// The between-token time in seconds once one more stream runs there.
    pub fn step_seconds(&self) -> f64 {
        self.base_seconds + self.slope_seconds * f64::from(self.used)
    }
}
