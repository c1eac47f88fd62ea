//! Frees what streams of dead entry instances hold at engines.

use {
    crate::{
        abandoned_streams::AbandonedStreams,
        cell_driver::GrantSink,
        cell_table::{CellTable, PolicyFactory},
        load_poller::cell_engines,
        stream_canceller::StreamCanceller,
        stream_name::StreamName,
        upstream_registry::UpstreamRegistry,
    },
    engine::{ModelEngine, wire::StreamRecord},
    futures_util::future::join_all,
    kernel::{Incarnation, ModelId, UpstreamId, ZoneId},
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{self, MissedTickBehavior},
};

/// Knows which lives of entry instances are over.
pub trait LifeView: Send + Sync + 'static {
    /// Whether this life of the instance is known to be over.
    fn is_gone(&self, instance: &str, incarnation: Incarnation) -> bool;

    /// Whether the instance is not heard now: it may be dead, frozen or cut off.
    fn is_silent(&self, instance: &str) -> bool;
}

/// Compares the engines' lists of streams with the lives of entry instances. Runs at the allocator of a cell.
///
/// A stream is cancelled when its holder's life is known to be over, and also when its holder is merely silent but the
/// engine says that nobody waits for the answer: one instance that outlives most others can't tell death from a
/// partition, and the engine can.
pub struct StreamSweeper<E, L, M: PolicyFactory, S> {
    abandoned: AbandonedStreams,
    registry: Arc<UpstreamRegistry>,
    canceller: StreamCanceller<E>,
    cells: Arc<CellTable<M, S>>,
    engine: E,
    interval: Duration,
    lives: Arc<L>,
    zone: ZoneId,
}

#[bon::bon]
impl<E: ModelEngine, L: LifeView, M: PolicyFactory, S: GrantSink> StreamSweeper<E, L, M, S> {
    /// A sweeper of the cells in `cells`.
    #[builder]
    pub fn new(
        registry: Arc<UpstreamRegistry>,
        canceller: StreamCanceller<E>,
        cells: Arc<CellTable<M, S>>,
        engine: E,
        interval: Duration,
        lives: Arc<L>,
        zone: ZoneId,
    ) -> Self {
        Self {
            abandoned: AbandonedStreams::default(),
            registry,
            canceller,
            cells,
            engine,
            interval,
            lives,
            zone,
        }
    }
}

impl<E: ModelEngine, L: LifeView, M: PolicyFactory, S: GrantSink> StreamSweeper<E, L, M, S> {
    /// Sweeps for as long as it is driven.
    pub async fn run(mut self) {
        let mut ticks = time::interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for (model, _) in self.cells.list() {
                self.sweep_cell(&model).await;
            }
        }
    }

    /// Asks all engines of a cell at once, so that one that is silent holds up none of the others.
    async fn sweep_cell(&mut self, model: &ModelId) {
        let entries = cell_engines(&self.registry, &self.zone, model);
        let asked = entries
            .iter()
            .map(|entry| self.engine.streams(entry.address));
        let lists = join_all(asked).await;
        for (entry, list) in entries.iter().zip(lists) {
            let Ok(streams) = list else {
                continue;
            };
            self.sweep(&entry.record.name, streams);
        }
    }

    fn sweep(&mut self, upstream: &UpstreamId, streams: Vec<StreamRecord>) {
        let mut suspects = BTreeSet::new();
        for stream in streams {
            let Some(name) = StreamName::parse(&stream.id) else {
                continue;
            };
            let key = &name.key;
            if self.lives.is_gone(&key.instance, key.incarnation) {
                self.cancel(upstream, &stream.id);
                continue;
            }
            if stream.connected == Some(false) && self.lives.is_silent(&key.instance) {
                suspects.insert(stream.id);
            }
        }
        for stream in self.abandoned.observe(Instant::now(), upstream, &suspects) {
            self.cancel(upstream, &stream);
        }
    }

    fn cancel(&self, upstream: &UpstreamId, stream: &str) {
        self.canceller
            .cancel(upstream.clone(), stream.to_owned(), false);
    }
}
