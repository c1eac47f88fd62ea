//! The prompts that one prefill engine has been given.

use {
    crate::PlaceKey,
    policy::PrefillEstimate,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A prompt whose prefill was not reported within this time is no longer counted: its instance is gone.
const MAX_PREFILL_TIME: Duration = Duration::from_secs(4);

/// No engine prefills a token faster, so that a report of no time at all doesn't set its speed for ever.
const MIN_TOKEN_TIME: Duration = Duration::from_micros(1);
/// Longer prefills are not told apart.
const MAX_REPORTED_TIME: Duration = Duration::from_secs(3600);

/// The queue of one prefill engine, as all instances together fill it.
#[derive(Clone, Debug)]
pub struct PrefillQueue {
    estimate: PrefillEstimate,
    prompts: BTreeMap<PlaceKey, QueuedPrompt>,
}

/// A prompt that waits for its prefill, or is being prefilled.
#[derive(Clone, Copy, Debug)]
struct QueuedPrompt {
    /// Tokens queued up to the end of this prompt when it was assigned.
    ahead: u64,
    assigned_at: Instant,
    tokens: u64,
}

impl PrefillQueue {
    /// An empty queue of an engine of unknown speed.
    pub fn new(now: Instant) -> Self {
        Self {
            estimate: PrefillEstimate::new(now),
            prompts: BTreeMap::new(),
        }
    }

    /// Adds a prompt.
    pub fn assign(&mut self, key: PlaceKey, tokens: u64, now: Instant) {
        let ahead = self.left(now) + tokens;
        let prompt = QueuedPrompt {
            ahead,
            assigned_at: now,
            tokens,
        };
        self.prompts.insert(key, prompt);
    }

    /// Removes a prompt, which took `took` from its assignment; `None` if it was not prefilled here.
    pub fn end(&mut self, key: &PlaceKey, took: Option<Duration>, now: Instant) {
        let Some(prompt) = self.prompts.remove(key) else {
            return;
        };
        if let Some(took) = took {
            let least = MIN_TOKEN_TIME.as_secs_f64() * prompt.ahead as f64;
            let least = Duration::from_secs_f64(least);
            let took = took.max(least).min(MAX_REPORTED_TIME);
            self.estimate.note(prompt.ahead, took, now);
        }
    }

    /// Removes the prompts that nobody reported on.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |prompt: &QueuedPrompt| {
            now.saturating_duration_since(prompt.assigned_at) < MAX_PREFILL_TIME
        };
        self.prompts.retain(|_, prompt| is_recent(prompt));
    }

    /// How long a prompt of this many tokens takes by itself.
    pub fn alone(&self, tokens: u64) -> Duration {
        self.estimate.unqueued(tokens)
    }

    /// How long a further prompt of this many tokens takes, waiting included.
    pub fn expected(&self, tokens: u64, now: Instant) -> Duration {
        self.estimate.unqueued(self.left(now) + tokens)
    }

    /// Prompt tokens that are not prefilled yet.
    pub fn left(&self, now: Instant) -> u64 {
        let mut left = 0;
        for prompt in self.prompts.values() {
            let since = now.saturating_duration_since(prompt.assigned_at);
            let needed = self.estimate.unqueued(prompt.ahead);
            let done = since.as_secs_f64() / needed.as_secs_f64().max(f64::MIN_POSITIVE);
            let rest = prompt.ahead as f64 * (1.0 - done.min(1.0));
            left = left.max((rest as u64).min(prompt.ahead));
        }
        left.max(self.unfinished())
    }

    /// What is left at least while prompts are not reported as done: a part of the first one.
    fn unfinished(&self) -> u64 {
        let smallest = self.prompts.values().map(|prompt| prompt.tokens).min();
        smallest.map_or(0, |tokens| tokens / 4)
    }
}
