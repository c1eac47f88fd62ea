//! The turns of one instance at an upstream that accepts a limited rate of calls.

use std::time::{Duration, Instant};

/// How long a turn can be used. Turns that stayed open until they are needed would all be used in the same second.
const TURN_LENGTH: Duration = Duration::from_millis(250);

/// Gives an instance one short turn in each period, at its own offset, so that all instances together stay within a rate
/// without communication.
#[derive(Clone, Copy, Debug)]
pub struct TurnClock {
    called_at: Option<Instant>,
    since: Instant,
}

impl TurnClock {
    /// A clock whose first period begins at `since`.
    pub fn new(since: Instant) -> Self {
        Self {
            called_at: None,
            since,
        }
    }

    /// Records a call, which ends the current turn.
    pub fn note_call(&mut self, now: Instant) {
        self.called_at = Some(now);
    }

    /// The time until the next turn; zero while one is open. `offset`, 0 to 1, is where in the period the turns begin.
    pub fn wait(&self, period: Duration, offset: f64, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.since);
        let first = period.mul_f64(offset);
        let Some(elapsed) = elapsed.checked_sub(first) else {
            return first - elapsed;
        };
        let position = Duration::from_secs_f64(elapsed.as_secs_f64() % period.as_secs_f64());
        let is_used = self
            .called_at
            .is_some_and(|at| now.saturating_duration_since(at) <= position);
        match position < TURN_LENGTH && !is_used {
            true => Duration::ZERO,
            false => period.saturating_sub(position),
        }
    }
}
