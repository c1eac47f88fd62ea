//! Frees what streams of dead entry instances hold at engines.

use {
    crate::{
        cell_driver::GrantSink,
        cell_table::{CellTable, PolicyMaker},
        load_poller::cell_engines,
        stream_canceller::StreamCanceller,
        stream_name::StreamName,
        upstream_board::UpstreamBoard,
    },
    engine::ModelEngine,
    kernel::{Incarnation, ZoneId},
    std::{sync::Arc, time::Duration},
    tokio::time::{self, MissedTickBehavior},
};

/// Knows which lives of entry instances are over.
pub trait LifeView: Send + Sync + 'static {
    /// Whether this life of the instance is known to be over.
    fn is_gone(&self, instance: &str, incarnation: Incarnation) -> bool;
}

/// Compares the engines' lists of streams with the lives of entry instances. Runs at the allocator of a cell.
pub struct StreamSweeper<E, L, M: PolicyMaker, S> {
    board: Arc<UpstreamBoard>,
    canceller: StreamCanceller<E>,
    cells: Arc<CellTable<M, S>>,
    engine: E,
    interval: Duration,
    lives: Arc<L>,
    zone: ZoneId,
}

#[bon::bon]
impl<E: ModelEngine, L: LifeView, M: PolicyMaker, S: GrantSink> StreamSweeper<E, L, M, S> {
    /// A sweeper of the cells in `cells`.
    #[builder]
    pub fn new(
        board: Arc<UpstreamBoard>,
        canceller: StreamCanceller<E>,
        cells: Arc<CellTable<M, S>>,
        engine: E,
        interval: Duration,
        lives: Arc<L>,
        zone: ZoneId,
    ) -> Self {
        Self {
            board,
            canceller,
            cells,
            engine,
            interval,
            lives,
            zone,
        }
    }
}

impl<E: ModelEngine, L: LifeView, M: PolicyMaker, S: GrantSink> StreamSweeper<E, L, M, S> {
    /// Sweeps for as long as it is driven.
    pub async fn run(self) {
        let mut ticks = time::interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for (model, _) in self.cells.list() {
                for entry in cell_engines(&self.board, &self.zone, &model) {
                    self.sweep(&entry.record.name, entry.address).await;
                }
            }
        }
    }

    async fn sweep(&self, upstream: &kernel::UpstreamId, address: std::net::SocketAddr) {
        let Ok(streams) = self.engine.streams(address).await else {
            return;
        };
        for stream in streams {
            let Some(name) = StreamName::parse(&stream.id) else {
                continue;
            };
            if !self.lives.is_gone(&name.key.instance, name.key.incarnation) {
                continue;
            }
            self.canceller
                .cancel(upstream.clone(), stream.id.to_string());
        }
    }
}
