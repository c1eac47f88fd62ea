//! One stream or granted place in the memory of a decode engine.

use {
    crate::LengthBelief,
    std::time::{Duration, Instant},
};

/// The expected time from a grant to the first event: the prompt is prefilled in between.
const BEGIN_TIME: Duration = Duration::from_millis(300);
/// A place that should have begun is expected to begin this much later.
const MIN_BEGIN_TIME: Duration = Duration::from_millis(50);
/// A granted place that has not begun and was not reported for this long is free: its news was lost.
const PROMISE_LIFE: Duration = Duration::from_secs(3);
/// A running stream without news is dropped after the longest time that its answer can take, twice, and this.
const SILENCE_MARGIN: Duration = Duration::from_secs(3);
/// Memory is allocated in blocks of this many tokens.
const BLOCK: f64 = 16.0;
/// Shorter spans say nothing about the speed.
const MIN_PACE_SPAN: Duration = Duration::from_millis(50);

/// What a running stream has produced.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The first known point: tokens, and when.
    first: (f64, Instant),
    /// The last known point.
    last: (f64, Instant),
}

/// A granted place, and the stream in it.
#[derive(Clone, Debug)]
pub(crate) struct MemoryStream {
    belief: LengthBelief,
    granted_at: Instant,
    /// When the place was last reported before its first event.
    heard_at: Instant,
    /// `None` before the first event.
    progress: Option<Progress>,
    prompt: f64,
    reserve: f64,
}

impl MemoryStream {
    pub(crate) fn new(prompt: u64, reserve: u64, belief: LengthBelief, now: Instant) -> Self {
        Self {
            belief,
            granted_at: now,
            heard_at: now,
            progress: None,
            prompt: prompt as f64,
            reserve: reserve as f64,
        }
    }

    /// The age of the last news.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        let at = self
            .progress
            .map_or(self.heard_at, |progress| progress.last.1);
        now.saturating_duration_since(at)
    }

    /// Records that the place is still held.
    pub(crate) fn keep(&mut self, now: Instant) {
        self.heard_at = self.heard_at.max(now);
    }

    /// Records the first event.
    pub(crate) fn begin(&mut self, now: Instant) {
        if self.progress.is_none() {
            self.progress = Some(Progress {
                first: (0.0, now),
                last: (0.0, now),
            });
        }
    }

    /// The memory that the running stream holds, tokens; 0 before it begins.
    pub(crate) fn held(&self, pace: f64, now: Instant) -> f64 {
        match self.progress {
            Some(_) => self.size(self.produced(pace, now)),
            None => 0.0,
        }
    }

    /// Whether its news must have been lost.
    pub(crate) fn is_lost(&self, pace: f64, now: Instant) -> bool {
        if self.progress.is_none() {
            return self.age(now) > PROMISE_LIFE;
        }
        let longest = 2.0 * self.belief.bound() / pace;
        self.age(now).as_secs_f64() > longest + SILENCE_MARGIN.as_secs_f64()
    }

    /// Records what the stream has produced. A report that is older than a known one changes nothing.
    pub(crate) fn note_progress(&mut self, tokens: f64, now: Instant) {
        self.begin(now);
        let Some(progress) = &mut self.progress else {
            return;
        };
        // An announced stream began long before it is known here, so the speed counts from its first report.
        if now.saturating_duration_since(progress.first.1) < MIN_PACE_SPAN {
            progress.first = (tokens.max(progress.first.0), now);
        }
        if tokens >= progress.last.0 {
            progress.last = (tokens, now);
        }
    }

    /// The speed of a stream that ended with `produced` tokens, tokens per second; `None` when it is too short to tell.
    pub(crate) fn pace(&self, produced: f64, now: Instant) -> Option<f64> {
        let (tokens, at) = self.progress?.first;
        let span = now.saturating_duration_since(at);
        if span < MIN_PACE_SPAN || produced <= tokens {
            return None;
        }
        Some((produced - tokens) / span.as_secs_f64())
    }

    /// Memory promised, tokens; 0 once the stream runs.
    pub(crate) fn promised(&self) -> f64 {
        match self.progress {
            Some(_) => 0.0,
            None => in_blocks(self.reserve),
        }
    }

    /// The probability that the place is held in `seconds`, and its memory then, tokens.
    pub(crate) fn memory_in(&self, seconds: f64, pace: f64, now: Instant) -> (f64, f64) {
        let Some(_) = self.progress else {
            let begin = BEGIN_TIME
                .saturating_sub(now.saturating_duration_since(self.granted_at))
                .max(MIN_BEGIN_TIME);
            let running = seconds - begin.as_secs_f64();
            if running < 0.0 {
                return (1.0, in_blocks(self.reserve));
            }
            return self.running_in(running, 0.0, pace);
        };
        self.running_in(seconds, self.produced(pace, now), pace)
    }

    /// What the stream has produced by now, as far as its speed tells.
    fn produced(&self, pace: f64, now: Instant) -> f64 {
        let Some(progress) = self.progress else {
            return 0.0;
        };
        let (tokens, at) = progress.last;
        let passed = now.saturating_duration_since(at).as_secs_f64();
        (tokens + pace * passed).min(self.belief.bound().max(tokens))
    }

    fn running_in(&self, seconds: f64, produced: f64, pace: f64) -> (f64, f64) {
        let more = pace * seconds;
        let alive = self.belief.alive(produced, more);
        (alive, self.size(produced + more))
    }

    /// The memory that the stream takes with this output: at least its reservation, which covers its first tokens.
    fn size(&self, output: f64) -> f64 {
        in_blocks((self.prompt + output).max(self.reserve))
    }
}

fn in_blocks(tokens: f64) -> f64 {
    (tokens / BLOCK).ceil() * BLOCK
}
