//! Polls the load of the engines in this instance's cells and reports it to the allocators.

use {
    crate::{
        cell_driver::{CellDriver, GrantSink},
        cell_table::{CellTable, PolicyFactory},
        engine_watch::EngineWatch,
        upstream_registry::{UpstreamEntry, UpstreamRegistry},
    },
    admit::AdmitEvent,
    engine::ModelEngine,
    futures_util::future::join_all,
    kernel::{ModelId, UpstreamId, ZoneId},
    plat::InstanceKind,
    route::{UpstreamRole, load_report::LeavingCause},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{self, MissedTickBehavior},
};

/// How long requests wait for an allocator that has just got its cell and knows too few engines.
const OPENING_LIMIT: Duration = Duration::from_secs(1);

/// The engines of one cell by name.
type WatchMap = BTreeMap<UpstreamId, EngineWatch>;

/// Polls the engines' load reports.
pub struct LoadPoller<E, M: PolicyFactory, S> {
    registry: Arc<UpstreamRegistry>,
    cells: Arc<CellTable<M, S>>,
    engine: E,
    interval: Duration,
    watches: BTreeMap<ModelId, WatchMap>,
    zone: ZoneId,
}

#[bon::bon]
impl<E: ModelEngine, M: PolicyFactory, S: GrantSink> LoadPoller<E, M, S> {
    /// Creates a poller for the cells in `cells`, whose engines are those of `zone` in the registry.
    #[builder]
    pub fn new(
        registry: Arc<UpstreamRegistry>,
        cells: Arc<CellTable<M, S>>,
        engine: E,
        interval: Duration,
        zone: ZoneId,
    ) -> Self {
        Self {
            registry,
            cells,
            engine,
            interval,
            watches: BTreeMap::new(),
            zone,
        }
    }
}

impl<E: ModelEngine, M: PolicyFactory, S: GrantSink> LoadPoller<E, M, S> {
    /// Polls until it is dropped.
    pub async fn run(mut self) {
        let mut ticks = time::interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let cells = self.cells.list();
            self.watches
                .retain(|model, _| cells.iter().any(|(running, _)| running == model));
            for (model, driver) in cells {
                self.poll_cell(&model, &driver).await;
            }
        }
    }

    async fn poll_cell(&mut self, model: &ModelId, driver: &Arc<CellDriver<M::Policy, S>>) {
        let entries = cell_engines(&self.registry, &self.zone, model);
        let watches = self.watches.entry(model.clone()).or_default();
        for gone in drop_unlisted(watches, &entries) {
            driver.on_event(AdmitEvent::UpstreamGone(gone));
        }
        let polls = entries.iter().map(async |entry| {
            // A report may arrive long before the slowest one of the round.
            let asked_at = Instant::now();
            (asked_at, self.engine.load(entry.address).await)
        });
        let loads = join_all(polls).await;
        for (entry, (asked_at, load)) in entries.iter().zip(loads) {
            let name = &entry.record.name;
            let watch = watches.entry(name.clone()).or_default();
            let events = match load {
                Ok(load) => {
                    sync_own_mark(&self.registry, name, load.leaving);
                    let mark = external_mark(entry);
                    watch.on_load(asked_at, &entry.record, &load, mark)
                }
                Err(_) => watch.on_failure(name),
            };
            for event in events {
                driver.on_event(event);
            }
        }
        if knows_engines(watches) || driver.age() >= OPENING_LIMIT {
            driver.open();
        }
    }
}

/// Whether an allocator can decide on requests: an engine of each stage answers, or nothing more is expected of the others.
fn knows_engines(watches: &WatchMap) -> bool {
    let has_role = |role| watches.values().any(|watch| watch.role() == Some(role));
    let has_unknown = watches.values().any(EngineWatch::is_unknown);
    !has_unknown || has_role(UpstreamRole::Decode) && has_role(UpstreamRole::Prefill)
}

/// The engines in an availability zone that serve a model.
pub fn cell_engines(
    registry: &UpstreamRegistry,
    zone: &str,
    model: &ModelId,
) -> Vec<UpstreamEntry> {
    let map = registry.snapshot();
    let entries = map.values().filter(|entry| {
        entry.record.kind != InstanceKind::Plain
            && *entry.record.zone == *zone
            && entry.record.model.as_ref() == Some(model)
    });
    entries.cloned().collect()
}

fn drop_unlisted(watches: &mut WatchMap, entries: &[UpstreamEntry]) -> Vec<UpstreamId> {
    let is_listed = |name: &UpstreamId| entries.iter().any(|entry| entry.record.name == *name);
    let gone: Vec<UpstreamId> = watches
        .keys()
        .filter(|name| !is_listed(name))
        .cloned()
        .collect();
    watches.retain(|name, _| is_listed(name));
    gone
}

/// Why an engine is draining according to any source but its own report.
fn external_mark(entry: &UpstreamEntry) -> Option<LeavingCause> {
    let own = entry
        .marks
        .iter()
        .find(|cause| **cause != LeavingCause::Said);
    own.copied().or(entry.peer_mark)
}

/// Stores the engine's own drain state as a mark, so that it spreads to the other instances.
fn sync_own_mark(registry: &UpstreamRegistry, name: &UpstreamId, leaving: bool) {
    match leaving {
        true => {
            registry.mark(name, LeavingCause::Said);
        }
        false => registry.clear(name, LeavingCause::Said),
    }
}
