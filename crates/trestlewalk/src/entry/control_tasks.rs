//! The background tasks beside the request path: membership, table, list of instances and allocators.

use {
    crate::{
        RunError,
        entry::{
            AllocatorFactory, EntryParts, EntryPlatform, ListPoller, MemberWatch, PathComponents,
            ShareUpdater, TableDriver, TableExchange,
        },
        run_error::PeersSnafu,
    },
    flow::{
        AllocatorTracker, CELL_TAG, CellTable, GrantRouter, LoadPoller, SessionHost, StreamSweeper,
    },
    kernel::InstanceId,
    peer::{ListedMember, MemberSettings, PeerDriver},
    plat::{PollPlan, PollSettings, TableRepository},
    snafu::ResultExt,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time},
};

/// How often an allocator polls the load of its engines.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// How often an allocator compares the engines' streams with the members.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How often the polling plan is given the current members.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(500);

/// The cells whose allocator runs at this instance.
type LocalCells = Arc<CellTable<AllocatorFactory, GrantRouter>>;
/// The driver of the table, shared by its tasks.
type LocalDriver = Arc<TableDriver<EntryPlatform>>;

/// The running background tasks.
pub struct ControlTasks {
    driver: Arc<PeerDriver>,
}

impl ControlTasks {
    /// Tells the other instances that this incarnation ends.
    pub async fn close(self) {
        PeerDriver::clone(&self.driver).close().await;
    }

    /// The membership.
    pub fn members(&self) -> Arc<PeerDriver> {
        self.driver.clone()
    }

    /// Starts all tasks in the worker pool.
    ///
    /// # Errors
    ///
    /// The socket for peers is closed.
    pub fn start(components: &PathComponents, parts: &EntryParts) -> Result<Self, RunError> {
        let table = make_table(components, parts);
        let driver = Arc::new(start_members(components, parts, &table)?);
        parts.map.insert(driver.clone());
        let zone = parts.identity.zone.clone();
        let watch = Arc::new(MemberWatch::new(
            components.registry.clone(),
            driver.clone(),
            zone,
        ));
        let router = Arc::new(GrantRouter::new(
            components.hub.clone(),
            parts.identity.instance.clone(),
            components.registry.clone(),
        ));
        let factory = AllocatorFactory::new(
            components.registry.clone(),
            parts.identity.incarnation,
            parts.identity.zone.clone(),
        );
        let cells = CellTable::new(
            components.current_table.clone(),
            factory,
            components.pool.clone(),
            router.clone(),
        );
        let cells = Arc::new(cells);
        start_cells(components, parts, &cells, &watch, router);
        start_table(components, parts, &driver, &table);
        start_watch(components, parts, &cells, &watch);
        Ok(Self { driver })
    }
}

fn seed_members(parts: &EntryParts) -> Vec<ListedMember> {
    let peers = parts.settings.peers.iter();
    let listed = peers.map(|peer| ListedMember {
        address: peer.address,
        instance: peer.instance.clone(),
        leaving: false,
    });
    listed.collect()
}

fn make_table(components: &PathComponents, parts: &EntryParts) -> LocalDriver {
    let settings = &parts.settings.platform;
    let identity = &parts.identity;
    let polling = PollSettings::builder()
        .interval(settings.poll)
        .poll_timeout(settings.timeout * 2)
        .seed(identity.incarnation)
        .build();
    let plan = PollPlan::new(
        Instant::now(),
        identity.zone.clone(),
        identity.instance.clone(),
        polling,
    );
    let driver = TableDriver::builder()
        .current_table(components.current_table.clone())
        .health(components.health.clone())
        .instance(identity.instance.clone())
        .plan(plan)
        .pool(components.pool.clone())
        .readiness(parts.readiness.clone())
        .repository(TableRepository::new(components.platform.clone()))
        .build();
    Arc::new(driver)
}

fn start_cells(
    components: &PathComponents,
    parts: &EntryParts,
    cells: &LocalCells,
    watch: &Arc<MemberWatch>,
    router: Arc<GrantRouter>,
) {
    let zone = &parts.identity.zone;
    let tracker = AllocatorTracker::builder()
        .registry(components.registry.clone())
        .cells(cells.clone())
        .endpoint(components.endpoint.clone())
        .hub(components.hub.clone())
        .instance(parts.identity.instance.clone())
        .members(watch.clone())
        .pool(components.pool.clone())
        .zone(zone.clone())
        .build();
    let poller = LoadPoller::builder()
        .registry(components.registry.clone())
        .cells(cells.clone())
        .engine(components.engine.clone())
        .interval(LOAD_INTERVAL)
        .zone(zone.clone())
        .build();
    let sweeper = StreamSweeper::builder()
        .registry(components.registry.clone())
        .canceller(components.canceller())
        .cells(cells.clone())
        .engine(components.engine.clone())
        .interval(SWEEP_INTERVAL)
        .lives(watch.clone())
        .zone(zone.clone())
        .build();
    let host = SessionHost::new(cells.clone(), components.pool.clone(), router);
    let sessions = components.endpoint.register(CELL_TAG);
    let tables = cells.clone();
    components.pool.spawn(tracker.run());
    components.pool.spawn(poller.run());
    components.pool.spawn(sweeper.run());
    components.pool.spawn(host.run(sessions));
    components
        .pool
        .spawn(async move { tables.run_tables().await });
}

fn start_members(
    components: &PathComponents,
    parts: &EntryParts,
    table: &LocalDriver,
) -> Result<PeerDriver, RunError> {
    let heartbeat = &parts.settings.heartbeat;
    let settings = MemberSettings::builder()
        .heartbeat_interval(heartbeat.period)
        .neighbour_limit(heartbeat.neighbours as usize)
        .suspicion_timeout(heartbeat.suspect_after)
        .gone_timeout(heartbeat.dead_after.saturating_sub(heartbeat.suspect_after))
        .build();
    PeerDriver::builder()
        .contacts(seed_members(parts))
        .endpoint(components.endpoint.clone())
        .maybe_advertise(parts.settings.listen.advertise)
        .settings(settings)
        .source(Arc::new(TableExchange {
            driver: table.clone(),
        }))
        .zone(parts.identity.zone.clone())
        .start()
        .context(PeersSnafu)
}

/// Starts the tasks that keep the table up to date.
fn start_table(
    components: &PathComponents,
    parts: &EntryParts,
    driver: &Arc<PeerDriver>,
    table: &LocalDriver,
) {
    table.set_membership(driver.clone());
    components
        .pool
        .spawn(table.clone().run_heads(driver.clone()));
    components
        .pool
        .spawn(table.clone().run_updates(driver.clone()));
    components.pool.spawn(table.clone().run_ticks());
    components.pool.spawn(watch_members(
        driver.clone(),
        table.clone(),
        parts.identity.zone.to_string(),
    ));
}

/// Starts the tasks that pass the membership and the list of instances on to the other parts.
fn start_watch(
    components: &PathComponents,
    parts: &EntryParts,
    cells: &LocalCells,
    watch: &Arc<MemberWatch>,
) {
    let (sender, list) = watch::channel(Vec::new());
    let interval = parts.settings.platform.list_poll;
    let updater = ShareUpdater {
        driver: watch.driver(),
        limiter: components.limiter.clone(),
        list: list.clone(),
        current_table: components.current_table.clone(),
        zone: parts.identity.zone.clone(),
    };
    components.pool.spawn(updater.run());
    let poller = ListPoller::new(
        components.registry.clone(),
        interval,
        sender,
        components.platform.clone(),
    );
    components.pool.spawn(poller.run());
    components.pool.spawn(watch.clone().run_list(list));
    components.pool.spawn(watch.clone().run_marks());
    components.pool.spawn(
        watch
            .clone()
            .run_updates(cells.clone(), components.hub.clone()),
    );
    components
        .pool
        .spawn(watch.clone().run_state(parts.readiness.clone()));
}

/// Gives the polling plan the live instances of the own availability zone. Never returns.
async fn watch_members(driver: Arc<PeerDriver>, table: LocalDriver, zone: String) {
    let mut ticks = time::interval(MEMBERS_INTERVAL);
    loop {
        ticks.tick().await;
        let view = driver.view();
        let local = view.heard.iter().filter(|record| *record.zone == *zone);
        let members: Vec<InstanceId> = local.map(|record| record.instance.clone()).collect();
        table.on_members(members);
    }
}
