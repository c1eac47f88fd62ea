//! Tracks whether a caller's connection has a request in progress, and since when it is idle.

use {
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
    idle_since: Instant,
    open: u32,
}

/// The activity of one connection.
#[derive(Debug)]
pub struct ConnectionActivity {
    state: RankedLock<ActivityState>,
}

/// Counts as a request in progress until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest {
    activity: Arc<ConnectionActivity>,
}

impl ConnectionActivity {
    /// Marks the start of a request.
    pub fn begin(self: Arc<Self>) -> ActiveRequest {
        self.state.lock().open += 1;
        ActiveRequest { activity: self }
    }

    /// Whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.state.lock().open == 0
    }

    /// A connection that is idle from now on.
    pub fn new() -> Self {
        let state = ActivityState {
            idle_since: steady_clock::now(),
            open: 0,
        };
        Self {
            state: RankedLock::new(LockRank::Samples, state),
        }
    }

    /// Time left until the idle timeout; zero when it has passed.
    pub fn idle_left(&self, limit: Duration) -> Duration {
        let state = *self.state.lock();
        match state.open {
            0 => (state.idle_since + limit).saturating_duration_since(steady_clock::now()),
            _ => BUSY_RECHECK,
        }
    }
}

impl Default for ConnectionActivity {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.activity.state.lock();
        state.open = state.open.saturating_sub(1);
        state.idle_since = steady_clock::now();
    }
}
