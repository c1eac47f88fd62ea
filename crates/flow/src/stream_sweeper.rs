//! Cancels streams that dead entry instances left on engines.

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

/// Reports which incarnations of entry instances have ended.
pub trait LifeView: Send + Sync + 'static {
    /// Whether this incarnation of the instance is known to have ended.
    fn is_gone(&self, instance: &str, incarnation: Incarnation) -> bool;

    /// Whether the instance is currently silent: it may be dead, frozen or cut off.
    fn is_silent(&self, instance: &str) -> bool;
}

/// Compares the streams on engines with the incarnations of entry instances. Runs on the allocator of a cell.
///
/// A stream is cancelled when its holder's incarnation is known to have ended. It is also cancelled when its holder is
/// silent and the engine reports that the stream has no connection: an instance that outlives most others can't tell a
/// crash from a partition, but the engine can.
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
    /// Creates a sweeper for the cells in `cells`.
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
    /// Sweeps until it is dropped.
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

    /// Queries all engines of a cell concurrently, so that a silent one does not delay the others.
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
