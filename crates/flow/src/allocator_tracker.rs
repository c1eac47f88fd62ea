//! Which instance is the allocator of each cell, followed as members come and go.

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

/// How often the seats are compared with the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a cell that another instance allocates is kept here, for sessions that have not moved yet.
const LEAVE_AFTER: Duration = Duration::from_secs(5);
/// How long a request may wait for a cell that has no allocator.
const UNASSIGNED_LIMIT: Duration = Duration::from_secs(1);
/// When to come back after such a wait.
const UNASSIGNED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The shortest time between two sessions to one allocator.
const SESSION_PAUSE: Duration = Duration::from_millis(200);

/// Knows the instances that may be allocators.
pub trait MemberView: Send + Sync + 'static {
    /// The live instances of the own availability zone that take work, the own one included while it takes work.
    fn zone_members(&self) -> Vec<InstanceId>;
}

/// One seat as it was set last.
struct AssignedRoute {
    allocator: InstanceId,
    frames: mpsc::WeakUnboundedSender<crate::cell_frame::CellFrame>,
    since: Instant,
}

/// Follows the members and gives every cell its allocator.
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
    /// Seats for the cells of `zone`, of this `instance`'s side; its sessions run in `pool`.
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
    /// Follows the members for as long as it is driven.
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

    /// Refuses the requests whose cell has had no allocator for too long: for want of engines or of members.
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
            tracing::info!(%model, %allocator, "the cell has an allocator");
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

    /// Drops the cells that others have allocated for long enough. A session that moves here late makes its cell anew.
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

/// The allocator of a model's cell among the members of its availability zone.
pub fn allocator_of(zone: &str, model: &str, members: &[InstanceId]) -> Option<InstanceId> {
    seeded_rng::rendezvous(&format!("{zone}/{model}"), members).cloned()
}

/// The models that the engines of a zone serve.
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
