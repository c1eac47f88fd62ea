//! The control work around the request path: membership, table, list of instances, allocators.

use {
    crate::{
        RunError,
        entry::{
            AllocatorMaker, EntryParts, EntryPlatform, LimitShares, ListPoller, MemberWatch,
            PathBase, TableDriver, TableShare,
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

/// How often an allocator asks its engines for their load.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// How often an allocator compares the engines' streams with the members.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How often the polling plan hears of the members.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(500);

/// The cells whose allocator this instance is.
type LocalCells = Arc<CellTable<AllocatorMaker, GrantRouter>>;
/// The driver of the table.
type LocalTable = Arc<TableDriver<EntryPlatform>>;

/// The running control work.
pub struct ControlWork {
    driver: Arc<PeerDriver>,
}

impl ControlWork {
    /// Tells the other instances that this life is over.
    pub async fn close(self) {
        PeerDriver::clone(&self.driver).close().await;
    }

    /// The membership.
    pub fn members(&self) -> Arc<PeerDriver> {
        self.driver.clone()
    }

    /// Starts all of it in the pool.
    ///
    /// # Errors
    ///
    /// The socket for peers is gone.
    pub fn start(base: &PathBase, parts: &EntryParts) -> Result<Self, RunError> {
        let table = make_table(base, parts);
        let driver = Arc::new(start_members(base, parts, &table)?);
        parts.map.insert(driver.clone());
        let zone = parts.identity.zone.clone();
        let watch = Arc::new(MemberWatch::new(base.board.clone(), driver.clone(), zone));
        let router = Arc::new(GrantRouter::new(
            base.hub.clone(),
            parts.identity.instance.clone(),
        ));
        let maker = AllocatorMaker::new(
            base.board.clone(),
            parts.identity.incarnation,
            parts.identity.zone.clone(),
        );
        let cells = CellTable::new(
            base.tables.clone(),
            maker,
            base.pool.clone(),
            router.clone(),
        );
        let cells = Arc::new(cells);
        start_cells(base, parts, &cells, &watch, router);
        start_table(base, parts, &driver, &table);
        start_watch(base, parts, &cells, &watch);
        Ok(Self { driver })
    }
}

fn contacts(parts: &EntryParts) -> Vec<ListedMember> {
    let peers = parts.settings.peers.iter();
    let listed = peers.map(|peer| ListedMember {
        address: peer.address,
        instance: peer.instance.clone(),
        leaving: false,
    });
    listed.collect()
}

fn make_table(base: &PathBase, parts: &EntryParts) -> LocalTable {
    let settings = &parts.settings.platform;
    let identity = &parts.identity;
    let polling = PollSettings::builder()
        .interval(settings.poll)
        .poll_limit(settings.timeout * 2)
        .seed(identity.incarnation)
        .build();
    let plan = PollPlan::new(
        Instant::now(),
        identity.zone.clone(),
        identity.instance.clone(),
        polling,
    );
    let driver = TableDriver::builder()
        .board(base.tables.clone())
        .health(base.health.clone())
        .instance(identity.instance.clone())
        .plan(plan)
        .pool(base.pool.clone())
        .ready(parts.board.clone())
        .repository(TableRepository::new(base.platform.clone()))
        .build();
    Arc::new(driver)
}

fn start_cells(
    base: &PathBase,
    parts: &EntryParts,
    cells: &LocalCells,
    watch: &Arc<MemberWatch>,
    router: Arc<GrantRouter>,
) {
    let zone = &parts.identity.zone;
    let seats = AllocatorTracker::builder()
        .registry(base.board.clone())
        .cells(cells.clone())
        .endpoint(base.endpoint.clone())
        .hub(base.hub.clone())
        .instance(parts.identity.instance.clone())
        .members(watch.clone())
        .pool(base.pool.clone())
        .zone(zone.clone())
        .build();
    let poller = LoadPoller::builder()
        .registry(base.board.clone())
        .cells(cells.clone())
        .engine(base.engine.clone())
        .interval(LOAD_INTERVAL)
        .zone(zone.clone())
        .build();
    let sweeper = StreamSweeper::builder()
        .registry(base.board.clone())
        .canceller(base.canceller())
        .cells(cells.clone())
        .engine(base.engine.clone())
        .interval(SWEEP_INTERVAL)
        .lives(watch.clone())
        .zone(zone.clone())
        .build();
    let host = SessionHost::new(cells.clone(), base.pool.clone(), router);
    let sessions = base.endpoint.register(CELL_TAG);
    let tables = cells.clone();
    base.pool.spawn(seats.run());
    base.pool.spawn(poller.run());
    base.pool.spawn(sweeper.run());
    base.pool.spawn(host.run(sessions));
    base.pool.spawn(async move { tables.run_tables().await });
}

fn start_members(
    base: &PathBase,
    parts: &EntryParts,
    table: &LocalTable,
) -> Result<PeerDriver, RunError> {
    let heartbeat = &parts.settings.heartbeat;
    let settings = MemberSettings::builder()
        .heartbeat_interval(heartbeat.period)
        .neighbour_limit(heartbeat.neighbours as usize)
        .suspicion_timeout(heartbeat.suspect_after)
        .gone_timeout(heartbeat.dead_after.saturating_sub(heartbeat.suspect_after))
        .build();
    PeerDriver::builder()
        .contacts(contacts(parts))
        .endpoint(base.endpoint.clone())
        .maybe_advertise(parts.settings.listen.advertise)
        .settings(settings)
        .source(Arc::new(TableShare {
            driver: table.clone(),
        }))
        .zone(parts.identity.zone.clone())
        .start()
        .context(PeersSnafu)
}

/// Starts what brings the table here.
fn start_table(base: &PathBase, parts: &EntryParts, driver: &Arc<PeerDriver>, table: &LocalTable) {
    table.join(driver.clone());
    base.pool.spawn(table.clone().run_heads(driver.clone()));
    base.pool.spawn(table.clone().run_news(driver.clone()));
    base.pool.spawn(table.clone().run_ticks());
    base.pool.spawn(follow_members(
        driver.clone(),
        table.clone(),
        parts.identity.zone.to_string(),
    ));
}

/// Starts what the membership and the list of instances tell the rest.
fn start_watch(base: &PathBase, parts: &EntryParts, cells: &LocalCells, watch: &Arc<MemberWatch>) {
    let (sender, list) = watch::channel(Vec::new());
    let interval = parts.settings.platform.list_poll;
    let shares = LimitShares {
        driver: watch.driver(),
        limiter: base.limiter.clone(),
        list: list.clone(),
        tables: base.tables.clone(),
        zone: parts.identity.zone.clone(),
    };
    base.pool.spawn(shares.run());
    let poller = ListPoller::new(base.board.clone(), interval, sender, base.platform.clone());
    base.pool.spawn(poller.run());
    base.pool.spawn(watch.clone().run_list(list));
    base.pool.spawn(watch.clone().run_marks());
    base.pool
        .spawn(watch.clone().run_news(cells.clone(), base.hub.clone()));
    base.pool
        .spawn(watch.clone().run_state(parts.board.clone()));
}

/// Tells the polling plan which instances of the own availability zone live.
async fn follow_members(driver: Arc<PeerDriver>, table: LocalTable, zone: String) {
    let mut ticks = time::interval(MEMBERS_INTERVAL);
    loop {
        ticks.tick().await;
        let view = driver.view();
        let near = view.heard.iter().filter(|record| *record.zone == *zone);
        let members: Vec<InstanceId> = near.map(|record| record.instance.clone()).collect();
        table.on_members(members);
    }
}
