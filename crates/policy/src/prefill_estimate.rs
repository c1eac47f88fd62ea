//! The estimated prefill time of an engine, from the prefills of this instance.

use std::time::{Duration, Instant};

/// The initial time per token: about that of a current engine for an ordinary prompt, first step included. Corrected by
/// the first prefill.
const INITIAL_TOKEN_TIME: Duration = Duration::from_micros(50);
/// The maximum increase of the time per token by one prefill. A slow prefill mostly indicates a queue; a part of the
/// delay is attributed to the engine, so that an engine that has become slow is noticed.
const MAX_SLOWDOWN: f64 = 1.03;
/// The half-life of the observed queueing time. The queue of an engine changes within a few prefills.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(300);

/// The time per token and the queueing time of one engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefillEstimate {
    /// Prefill time per token, seconds.
    token_time: f64,
    /// Time that the last prefill was queued behind the work of other instances, seconds.
    queue_time: f64,
    observed_at: Instant,
}

impl PrefillEstimate {
    /// How long the engine takes for `tokens` with an empty queue.
    pub fn unqueued(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.token_time * tokens as f64)
    }

    /// How long a prefill is expected to take; `tokens` is the total of this instance to be prefilled
    /// there, the prompt included.
    pub fn expected(&self, tokens: u64, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.observed_at);
        let left = 0.5_f64.powf(age.as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64());
        Duration::from_secs_f64(self.token_time * tokens as f64 + self.queue_time * left)
    }

    /// Creates an estimate without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            token_time: INITIAL_TOKEN_TIME.as_secs_f64(),
            queue_time: 0.0,
            observed_at: now,
        }
    }

    /// Records a prefill that took `took` with `tokens` of this instance to be prefilled there.
    pub fn note(&mut self, tokens: u64, took: Duration, now: Instant) {
        let took = took.as_secs_f64();
        let observed = took / tokens.max(1) as f64;
        self.token_time = observed.min(self.token_time * MAX_SLOWDOWN);
        self.queue_time = (took - self.token_time * tokens as f64).max(0.0);
        self.observed_at = now;
    }
}
