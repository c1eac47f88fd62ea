//! By when a closing instance answers the requests in progress.

use {
    kernel::{ShutdownSignal, steady_clock},
    std::{
        sync::{
            Arc, OnceLock,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Time between the last answers and the close limit, in which they are written.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// The time of a close. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct CloseClock {
    answer_by: Arc<OnceLock<Instant>>,
    cut_requests: Arc<AtomicUsize>,
    started: ShutdownSignal,
}

impl CloseClock {
    /// How many requests in progress were ended, so that their outcome is unknown.
    pub fn cut_requests(&self) -> usize {
        self.cut_requests.load(Ordering::Relaxed)
    }

    /// Counts such a request.
    pub fn note_cut(&self) {
        self.cut_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the close has started.
    pub fn has_started(&self) -> bool {
        self.started.is_raised()
    }

    /// Starts the close, after which connections are cut in `limit`. Only the first call has an effect.
    pub fn start(&self, limit: Duration) {
        let left = limit.saturating_sub(WRITE_TIME);
        self.answer_by.get_or_init(|| steady_clock::now() + left);
        self.started.raise();
    }

    /// Waits until the close starts; returns when the requests in progress are answered.
    pub async fn answer_by(&self) -> Instant {
        self.started.raised().await;
        *self.answer_by.get_or_init(steady_clock::now)
    }

    /// Waits until the requests in progress are answered.
    pub async fn wait_over(&self) {
        let answer_by = self.answer_by().await;
        time::sleep(answer_by.saturating_duration_since(steady_clock::now())).await;
    }
}
