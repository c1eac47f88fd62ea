//! One prefill engine that a request may go to.

use kernel::UpstreamId;

/// What the choice of a prefill engine looks at.
#[derive(Clone, Copy, Debug)]
pub struct PrefillOption<'a> {
    /// Prompt tokens that its cache holds already, as far as known.
    pub cached_tokens: f64,
    /// Seconds until it has read what it was given.
    pub queue_seconds: f64,
    /// Prompt tokens read a second.
    pub rate: f64,
    /// The engine.
    pub upstream: &'a UpstreamId,
}

impl PrefillOption<'_> {
    /// Seconds until a prompt of this many tokens is read there.
    pub fn finish_seconds(&self, prompt_tokens: f64) -> f64 {
        self.queue_seconds + self.prefill_seconds(prompt_tokens)
    }

    /// Seconds that the reading itself takes.
    pub fn prefill_seconds(&self, prompt_tokens: f64) -> f64 {
        (prompt_tokens - self.cached_tokens).max(0.0) / self.rate.max(f64::MIN_POSITIVE)
    }
}
