//! Cancels streams at engines until the engine says that it is done, or is gone.

use {
    crate::{flow_metrics::FlowMetrics, upstream_board::UpstreamBoard},
    engine::ModelEngine,
    kernel::{UpstreamId, WorkerPool},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// The wait before the second try.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest wait between tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// How often an engine has to say that it doesn't hold the stream. The call that starts a stream may still be on its way
/// when the first cancel is answered; the pauses between the tries add up to more than a second.
const MISS_LIMIT: u32 = 7;
/// How many tries a cancel gets; what is left then is found by the sweep of streams.
const TRIES: u32 = 20;

/// Cancels streams in the background.
#[derive(Clone)]
pub struct StreamCanceller<E> {
    board: Arc<UpstreamBoard>,
    engine: E,
    metrics: Arc<FlowMetrics>,
    pool: WorkerPool,
}

impl<E: ModelEngine> StreamCanceller<E> {
    /// Starts to cancel a stream.
    pub fn cancel(&self, upstream: UpstreamId, stream: String) {
        self.metrics.cancels.inc();
        let canceller = self.clone();
        self.pool
            .spawn_watching(async move { canceller.run(upstream, stream).await });
    }

    /// A canceller whose work is done in `pool`.
    pub fn new(
        board: Arc<UpstreamBoard>,
        engine: E,
        metrics: Arc<FlowMetrics>,
        pool: WorkerPool,
    ) -> Self {
        Self {
            board,
            engine,
            metrics,
            pool,
        }
    }

    async fn run(self, upstream: UpstreamId, stream: String) {
        let mut pause = FIRST_PAUSE;
        let mut misses = 0;
        for _ in 0..TRIES {
            let Some(address) = self.board.address(&upstream) else {
                return;
            };
            match self.engine.cancel(address, &stream).await {
                Ok(true) => return,
                Ok(false) => misses += 1,
                Err(_) => {}
            }
            if misses == MISS_LIMIT || self.pool.signal().is_raised() {
                return;
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}
