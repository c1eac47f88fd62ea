//! Reads the memory of the engines that this instance schedules from their own reports.

use {
    crate::{RelayCore, UpstreamDialect},
    kernel::{UpstreamId, steady_clock},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

/// How often unknown memories are looked for.
const PERIOD: Duration = Duration::from_millis(100);
/// How long to wait before an engine is asked again.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// How many engines are asked at a time.
const MAX_AT_A_TIME: usize = 4;
/// How long a report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// A report lists the requests that run.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Asks each engine once, and again after a pause when it did not answer.
#[derive(Debug)]
pub struct CapacityReader<D> {
    core: Arc<RelayCore<D>>,
    asked: BTreeMap<UpstreamId, Instant>,
}

impl<D: UpstreamDialect> CapacityReader<D> {
    /// A reader that has asked no engine.
    pub fn new(core: Arc<RelayCore<D>>) -> Self {
        Self {
            core,
            asked: BTreeMap::new(),
        }
    }

    /// Reads until it is dropped.
    pub async fn run(mut self) {
        loop {
            time::sleep(PERIOD).await;
            let due = self.take_due(steady_clock::now());
            let mut reading = JoinSet::new();
            for engine in due {
                let core = self.core.clone();
                reading.spawn(async move { read_capacity(&core, &engine).await });
            }
            while reading.join_next().await.is_some() {}
        }
    }

    fn take_due(&mut self, now: Instant) -> Vec<UpstreamId> {
        self.asked.retain(|_, asked| now < *asked + RETRY_PAUSE);
        let mut due = self.core.schedulers.unknown_capacities();
        due.retain(|engine| !self.asked.contains_key(engine));
        due.truncate(MAX_AT_A_TIME);
        for engine in &due {
            self.asked.insert(engine.clone(), now);
        }
        due
    }
}

async fn read_capacity<D: UpstreamDialect>(core: &RelayCore<D>, engine: &UpstreamId) {
    let now = steady_clock::now();
    let Some(record) = core.upstreams.lock().callable(engine, now) else {
        return;
    };
    core.count_call(engine);
    let call = core.dialect.memory_call(&record);
    let asking = core.ask(&record, call, MAX_REPORT_BYTES);
    let Ok(Some((status, body))) = time::timeout(REPORT_TIMEOUT, asking).await else {
        tracing::debug!(upstream = %engine, "an engine did not report its memory");
        return;
    };
    let tokens = core.dialect.memory_reply(&body.bytes);
    match tokens.filter(|_| status.is_success()) {
        Some(tokens) => core.schedulers.set_capacity(engine, tokens),
        None => tracing::debug!(upstream = %engine, %status, "an engine reported no memory"),
    }
}
