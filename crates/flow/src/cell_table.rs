//! The cells that this instance allocates.

use {
    crate::{
        cell_driver::{CellDriver, GrantSink},
        cell_frame::CellFrame,
        current_table::CurrentTable,
    },
    admit::{AdmitEvent, AdmitPolicy},
    kernel::{Incarnation, InstanceId, LockRank, ModelId, RankedLock, ShutdownSignal, WorkerPool},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    table::WorkTable,
    tokio::time,
};

/// How often the cells' parts of the limits are recomputed, because the list may name other availability zones.
const PART_INTERVAL: Duration = Duration::from_secs(1);

/// The limits in a cell's table are already reduced to the cell's part.
const WHOLE_SHARE: f64 = 1.0;

/// Creates the allocators of cells.
pub trait PolicyFactory: Send + Sync + 'static {
    /// The type of the allocators.
    type Policy: AdmitPolicy + Send + 'static;

    /// Creates an allocator for a model's cell.
    fn make(&self, model: &ModelId) -> Self::Policy;

    /// The table with every limit reduced to this cell's part.
    fn table_for_cell(&self, model: &ModelId, table: &WorkTable) -> WorkTable;
}

/// The driver of a running cell.
type CellHandle<M, S> = Arc<CellDriver<<M as PolicyFactory>::Policy, S>>;

/// A running cell with the signal that stops its timer.
struct RunningCell<M: PolicyFactory, S> {
    driver: CellHandle<M, S>,
    signal: ShutdownSignal,
}

/// The cells that this instance allocates, by model.
pub struct CellTable<M: PolicyFactory, S> {
    current: Arc<CurrentTable>,
    cells: RankedLock<BTreeMap<ModelId, RunningCell<M, S>>>,
    factory: M,
    pool: WorkerPool,
    sink: Arc<S>,
}

impl<M: PolicyFactory, S: GrantSink> CellTable<M, S> {
    /// The driver of a model's cell, which is created if missing.
    pub fn cell(&self, model: &ModelId) -> CellHandle<M, S> {
        let mut cells = self.cells.lock();
        if let Some(cell) = cells.get(model) {
            return cell.driver.clone();
        }
        let driver = Arc::new(CellDriver::new(
            model.clone(),
            self.factory.make(model),
            self.sink.clone(),
        ));
        let signal = ShutdownSignal::new();
        let timer = (driver.clone(), signal.clone());
        self.pool
            .spawn(async move { timer.0.run_timer(timer.1).await });
        cells.insert(
            model.clone(),
            RunningCell {
                driver: driver.clone(),
                signal,
            },
        );
        drop(cells);
        self.put_table(model, &driver);
        driver
    }

    /// Stops the cell of a model that another instance now allocates.
    pub fn remove(&self, model: &ModelId) {
        let Some(cell) = self.cells.lock().remove(model) else {
            return;
        };
        cell.signal.raise();
    }

    /// The running cells.
    pub fn list(&self) -> Vec<(ModelId, CellHandle<M, S>)> {
        let cells = self.cells.lock();
        cells
            .iter()
            .map(|(model, cell)| (model.clone(), cell.driver.clone()))
            .collect()
    }

    /// Creates an empty table. Timers run in `pool`, and decisions go to `sink`.
    pub fn new(current: Arc<CurrentTable>, factory: M, pool: WorkerPool, sink: Arc<S>) -> Self {
        Self {
            current,
            cells: RankedLock::new(LockRank::Cells, BTreeMap::new()),
            factory,
            pool,
            sink,
        }
    }

    /// Passes a frame from an entry instance to its cell.
    pub fn on_frame(&self, frame: CellFrame) {
        let driver = self.cell(&frame.model().clone());
        driver.on_frame(Instant::now(), frame);
    }

    /// Reports to every cell that earlier incarnations of an entry instance are gone.
    pub fn on_holder_gone(&self, instance: &InstanceId, before: Incarnation) {
        for (_, driver) in self.list() {
            driver.on_event(AdmitEvent::HolderGone {
                before,
                instance: instance.clone(),
            });
        }
    }

    /// Passes the active table to every cell whenever it changes.
    pub async fn run_tables(&self) {
        let mut changes = self.current.changes();
        let mut ticks = time::interval(PART_INTERVAL);
        loop {
            tokio::select! {
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                _ = ticks.tick() => {}
            }
            for (model, driver) in self.list() {
                self.put_table(&model, &driver);
            }
        }
    }

    fn put_table(&self, model: &ModelId, driver: &CellHandle<M, S>) {
        let Some(table) = self.current.table() else {
            return;
        };
        let table = Arc::new(self.factory.table_for_cell(model, &table));
        if !driver.replace_table(&table) {
            return;
        }
        driver.on_event(AdmitEvent::Table {
            share: WHOLE_SHARE,
            table,
        });
    }
}
