//! A candidate prefill engine for one request.

use kernel::UpstreamId;

/// The queue, speed and cache of one prefill engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefillOption<'a> {
    /// Prompt tokens found in its prefix cache, as far as known.
    pub cached_tokens: f64,
    /// Time until its queue is empty, seconds.
    pub queue_seconds: f64,
    /// Prompt tokens prefilled per second.
    pub rate: f64,
    /// The candidate.
    pub upstream: &'a UpstreamId,
}

impl PrefillOption<'_> {
    /// Time until a prompt of this many tokens is prefilled there, queue included, seconds.
    pub fn finish_seconds(&self, prompt_tokens: f64) -> f64 {
        self.queue_seconds + self.prefill_seconds(prompt_tokens)
    }

    /// Time of the prefill itself, seconds.
    pub fn prefill_seconds(&self, prompt_tokens: f64) -> f64 {
        (prompt_tokens - self.cached_tokens).max(0.0) / self.rate.max(f64::MIN_POSITIVE)
    }
}
