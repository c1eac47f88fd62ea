//! Cancels streams at engines until the engine says that it is done, or is gone.

use {
    crate::{flow_metrics::FlowMetrics, upstream_registry::UpstreamRegistry},
    engine::ModelEngine,
    kernel::{UpstreamId, WorkerPool},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The wait before the second try.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest wait between tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// How long a stream is looked for whose starting call got no answer: the call may have been held up on its way, and
/// then starts the stream after cancels were answered with "not here".
const IN_FLIGHT_WATCH: Duration = Duration::from_secs(30);
/// How long an engine that gives no answer is tried; what is left then is found by the sweep of streams.
const TRY_LIMIT: Duration = Duration::from_secs(60);

/// Cancels streams in the background.
#[derive(Clone)]
pub struct StreamCanceller<E> {
    registry: Arc<UpstreamRegistry>,
    engine: E,
    metrics: Arc<FlowMetrics>,
    pool: WorkerPool,
}

impl<E: ModelEngine> StreamCanceller<E> {
    /// Starts to cancel a stream. `in_flight` says that the call which starts it got no answer yet.
    pub fn cancel(&self, upstream: UpstreamId, stream: String, in_flight: bool) {
        self.metrics.cancels.inc();
        let canceller = self.clone();
        self.pool
            .spawn_watching(async move { canceller.run(upstream, stream, in_flight).await });
    }

    /// A canceller whose work is done in `pool`.
    pub fn new(
        registry: Arc<UpstreamRegistry>,
        engine: E,
        metrics: Arc<FlowMetrics>,
        pool: WorkerPool,
    ) -> Self {
        Self {
            registry,
            engine,
            metrics,
            pool,
        }
    }

    async fn run(self, upstream: UpstreamId, stream: String, in_flight: bool) {
        let started = Instant::now();
        let mut pause = FIRST_PAUSE;
        while started.elapsed() < TRY_LIMIT {
            let Some(address) = self.registry.last_address(&upstream) else {
                return;
            };
            let outcome = self.engine.cancel(address, &stream).await;
            let is_over = match outcome {
                Ok(true) => true,
                Ok(false) => !in_flight || started.elapsed() > IN_FLIGHT_WATCH,
                Err(_) => false,
            };
            if is_over || self.pool.signal().is_raised() {
                return;
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}
