//! Cancels streams on engines until the engine confirms it or is gone.

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
/// How long cancellation is repeated for a stream whose start call is unanswered. The call may be delayed and start the
/// stream after the engine answered that it does not know the stream.
const IN_FLIGHT_WATCH: Duration = Duration::from_secs(30);
/// How long an unreachable engine is tried. The stream sweep finds what remains afterwards.
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
    /// Starts to cancel a stream. `in_flight` is whether the call that starts it is still unanswered.
    pub fn cancel(&self, upstream: UpstreamId, stream: String, in_flight: bool) {
        self.metrics.cancels.inc();
        let canceller = self.clone();
        self.pool
            .spawn_watching(async move { canceller.run(upstream, stream, in_flight).await });
    }

    /// Creates a canceller whose tasks run in `pool`.
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
