//! Tracks whether a caller's connection has a request in progress or an answer to write, and since when it is idle.

use {
    crate::StreamWatch,
    kernel::{LockRank, RankedLock, steady_clock},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How often the idle timeout of a connection is checked while a request is in progress.
const BUSY_RECHECK: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct ActivityState {
    /// Whether the server may still hold a part of an answer that it has taken in full.
    has_unwritten: bool,
    idle_since: Instant,
    /// Whether no request has come yet.
    is_unused: bool,
    open: u32,
}

impl ActivityState {
    fn is_idle(&self) -> bool {
        self.open == 0 && !self.has_unwritten
    }
}

/// The activity of one connection.
#[derive(Debug)]
pub struct ConnectionActivity {
    state: RankedLock<ActivityState>,
}

/// Counts as a request in progress until it is dropped, when the server has taken the whole answer.
#[derive(Debug)]
pub struct ActiveRequest {
    activity: Arc<ConnectionActivity>,
}

impl ConnectionActivity {
    /// Marks the start of a request.
    pub fn begin(self: Arc<Self>) -> ActiveRequest {
        let mut state = self.state.lock();
        state.is_unused = false;
        state.open += 1;
        drop(state);
        ActiveRequest { activity: self }
    }

    /// Whether no request is in progress and all answers are written.
    pub fn is_idle(&self) -> bool {
        self.state.lock().is_idle()
    }

    /// Whether no request has come yet.
    pub fn is_unused(&self) -> bool {
        self.state.lock().is_unused
    }

    /// A connection that is idle from now on.
    pub fn new() -> Self {
        let state = ActivityState {
            has_unwritten: false,
            idle_since: steady_clock::now(),
            is_unused: true,
            open: 0,
        };
        Self {
            state: RankedLock::new(LockRank::Samples, state),
        }
    }

    /// Time left until the idle timeout; zero when it has passed. While an answer is being written it does not pass: the
    /// socket has a timeout of its own for callers that take nothing.
    pub fn idle_left(&self, limit: Duration) -> Duration {
        let state = *self.state.lock();
        match state.is_idle() {
            true => (state.idle_since + limit).saturating_duration_since(steady_clock::now()),
            false => BUSY_RECHECK,
        }
    }
}

impl Default for ConnectionActivity {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamWatch for Arc<ConnectionActivity> {
    fn note_flush(&self) {
        let mut state = self.state.lock();
        if state.open == 0 && state.has_unwritten {
            state.has_unwritten = false;
            state.idle_since = steady_clock::now();
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.activity.state.lock();
        state.open = state.open.saturating_sub(1);
        state.has_unwritten = true;
    }
}
