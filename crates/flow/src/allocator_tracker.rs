//! Assigns each cell to its allocator as members join and leave.

use {
    crate::{
        cell_hub::{CellHub, CellRoute},
        cell_session::run_session,
        cell_table::{CellTable, PolicyFactory},
        grant_router::GrantRouter,
        upstream_registry::UpstreamRegistry,
    },
    kernel::{InstanceId, ModelId, WorkerPool, ZoneId, seeded_rng},
    peer::PeerEndpoint,
    plat::InstanceKind,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc::{self, UnboundedReceiver},
        time::{self, MissedTickBehavior},
    },
};

/// How often the assignments are compared with the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a cell is kept after another instance became its allocator, for sessions that have not moved yet.
const LEAVE_AFTER: Duration = Duration::from_secs(5);
/// How long a request may wait for a cell without an allocator.
const UNASSIGNED_LIMIT: Duration = Duration::from_secs(1);
/// The retry delay after such a refusal.
const UNASSIGNED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The minimum time between two sessions with one allocator.
const SESSION_PAUSE: Duration = Duration::from_millis(200);

/// Lists the instances that can be allocators.
pub trait MemberView: Send + Sync + 'static {
    /// The live instances of the own availability zone that accept work, including the own one while it does.
    fn zone_members(&self) -> Vec<InstanceId>;
}

/// The route that was last set for a cell.
struct AssignedRoute {
    allocator: InstanceId,
    frames: mpsc::WeakUnboundedSender<crate::cell_frame::CellFrame>,
    since: Instant,
}

/// Follows the members and routes each cell to its allocator.
pub struct AllocatorTracker<M: PolicyFactory, V> {
    registry: Arc<UpstreamRegistry>,
    cells: Arc<CellTable<M, GrantRouter>>,
    endpoint: PeerEndpoint,
    hub: Arc<CellHub>,
    instance: InstanceId,
    left_since: BTreeMap<ModelId, Instant>,
    members: Arc<V>,
    pool: WorkerPool,
    routes: BTreeMap<ModelId, AssignedRoute>,
    unassigned: BTreeMap<ModelId, Instant>,
    zone: ZoneId,
}

#[bon::bon]
impl<M: PolicyFactory, V: MemberView> AllocatorTracker<M, V> {
    /// Creates a tracker for the cells of `zone`, seen from `instance`. Its sessions run in `pool`.
    #[builder]
    pub fn new(
        registry: Arc<UpstreamRegistry>,
        cells: Arc<CellTable<M, GrantRouter>>,
        endpoint: PeerEndpoint,
        hub: Arc<CellHub>,
        instance: InstanceId,
        members: Arc<V>,
        pool: WorkerPool,
        zone: ZoneId,
    ) -> Self {
        Self {
            registry,
            cells,
            endpoint,
            hub,
            instance,
            left_since: BTreeMap::new(),
            members,
            pool,
            routes: BTreeMap::new(),
            unassigned: BTreeMap::new(),
            zone,
        }
    }
}

impl<M: PolicyFactory, V: MemberView> AllocatorTracker<M, V> {
    /// Follows the members until it is dropped.
    pub async fn run(mut self) {
        let mut ticks = time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.check(Instant::now());
        }
    }

    fn check(&mut self, now: Instant) {
        let members = self.members.zone_members();
        for model in zone_models(&self.registry, &self.zone) {
            let Some(allocator) = allocator_of(&self.zone, &model, &members) else {
                continue;
            };
            if self.needs_route(now, &model, &allocator) {
                self.assign_route(now, &model, allocator);
            }
        }
        self.drop_left_cells(now);
        self.refuse_unassigned(now);
    }

    fn has_session(&self, model: &ModelId) -> bool {
        let Some(route) = self.routes.get(model) else {
            return false;
        };
        let frames = route.frames.upgrade();
        frames.is_some_and(|frames| !frames.is_closed())
    }

    /// Refuses requests whose cell has had no allocator for [`UNASSIGNED_LIMIT`], because it has no engines or no
    /// members.
    fn refuse_unassigned(&mut self, now: Instant) {
        for model in self.hub.requests().models() {
            if self.has_session(&model) {
                self.unassigned.remove(&model);
                continue;
            }
            let since = *self.unassigned.entry(model.clone()).or_insert(now);
            if now.saturating_duration_since(since) < UNASSIGNED_LIMIT {
                continue;
            }
            self.hub.refuse_cell(&model, UNASSIGNED_RETRY_AFTER);
        }
    }

    fn needs_route(&self, now: Instant, model: &ModelId, allocator: &InstanceId) -> bool {
        let Some(route) = self.routes.get(model) else {
            return true;
        };
        if route.allocator != *allocator {
            return true;
        }
        !self.has_session(model) && now.saturating_duration_since(route.since) >= SESSION_PAUSE
    }

    fn assign_route(&mut self, now: Instant, model: &ModelId, allocator: InstanceId) {
        let (frames, outbox) = mpsc::unbounded_channel();
        let route = AssignedRoute {
            allocator: allocator.clone(),
            frames: frames.downgrade(),
            since: now,
        };
        let is_moved = self
            .routes
            .insert(model.clone(), route)
            .is_none_or(|old| old.allocator != allocator);
        if is_moved {
            tracing::info!(%model, %allocator, "cell assigned to allocator");
        }
        if allocator == self.instance {
            self.left_since.remove(model);
            self.cells.cell(model);
            self.pool.spawn(feed_cells(self.cells.clone(), outbox));
        } else {
            self.left_since.entry(model.clone()).or_insert(now);
            let session = run_session(
                self.endpoint.clone(),
                allocator.clone(),
                self.hub.clone(),
                outbox,
            );
            self.pool.spawn(session);
        }
        self.hub.set_route(model, CellRoute { allocator, frames });
    }

    /// Drops cells that other instances have allocated for [`LEAVE_AFTER`]. A session that moves here later creates its
    /// cell again.
    fn drop_left_cells(&mut self, now: Instant) {
        for (model, _) in self.cells.list() {
            let is_own = self
                .routes
                .get(&model)
                .is_some_and(|route| route.allocator == self.instance);
            if is_own {
                continue;
            }
            let since = *self.left_since.entry(model.clone()).or_insert(now);
            if now.saturating_duration_since(since) < LEAVE_AFTER {
                continue;
            }
            self.cells.remove(&model);
            self.left_since.remove(&model);
        }
    }
}

/// The allocator of a model's cell, chosen by rendezvous hashing over the members of its availability zone.
pub fn allocator_of(zone: &str, model: &str, members: &[InstanceId]) -> Option<InstanceId> {
    seeded_rng::rendezvous(&format!("{zone}/{model}"), members).cloned()
}

/// The models served by the engines of an availability zone.
fn zone_models(registry: &UpstreamRegistry, zone: &str) -> BTreeSet<ModelId> {
    let map = registry.snapshot();
    let entries = map
        .values()
        .filter(|entry| entry.record.kind != InstanceKind::Plain && *entry.record.zone == *zone);
    entries
        .filter_map(|entry| entry.record.model.clone())
        .collect()
}

async fn feed_cells<M: PolicyFactory>(
    cells: Arc<CellTable<M, GrantRouter>>,
    mut frames: UnboundedReceiver<crate::cell_frame::CellFrame>,
) {
    while let Some(frame) = frames.recv().await {
        cells.on_frame(frame);
    }
}
