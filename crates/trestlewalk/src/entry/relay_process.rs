//! One instance that serves the operators' routes by its own view, from start to close.

use {
    crate::{
        RunError,
        admin::{
            AdminServer, AdminState, ReadyBoard, StatusSource, TableStatus,
            ready_board::CLOSING_CONDITION,
        },
        entry::{ProcessSignal, ProcessSignals, ReadyLine, UdpEnd, bind_tcp},
        run_error::{CutByCloseSnafu, MetricsSnafu, RuntimeSnafu},
        settings::{RelayFile, SettingsReader},
    },
    kernel::{InstanceId, PluginEntry, StateMap, WorkerPool, unix_time},
    platform::{HttpDialect, RowStore},
    policy::{QuotaRule, RetryBounds, StageGoal},
    prometheus::Registry,
    relay::{
        CallReason, CallerServer, ConnectionTimeouts, OperatorSource, RelayCore, RelaySettings,
        SourceWatch, StageController, StageSettings, StoreCalls, WatchTimes,
    },
    snafu::ResultExt,
    spread::{SharedSource, SpreadTimes},
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::time,
};

const ADMIN_CLOSE_LIMIT: Duration = Duration::from_millis(200);
const POOL_CLOSE_LIMIT: Duration = Duration::from_millis(200);
/// While it is not known whether the keys are still those in force the instance is not ready.
const KEYS_CONDITION: &str = "keys";
/// How often that is looked at: the balancer asks once a second.
const KEYS_PERIOD: Duration = Duration::from_millis(500);
/// Until the first reading the instance is not ready.
const START_CONDITION: &str = "routes";
/// How long a reading by way of other instances may take. It bounds its own steps; this is for faults in it.
const SHARED_READ_LIMIT: Duration = Duration::from_secs(10);
/// An entry of the list lapses after three heartbeats without a report, the last of which came within one heartbeat before an
/// outage.
const LAPSE_HEARTBEATS: u32 = 2;
/// The pause after a reading by way of other instances that failed: it paces its own calls.
const SHARED_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The pause after a reading of the store that failed.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The request path on this platform.
type PlatformCore = RelayCore<HttpDialect>;

/// A running instance.
pub struct RelayProcess {
    admin: AdminServer,
    board: Arc<ReadyBoard>,
    callers: CallerServer,
    core: Arc<PlatformCore>,
    pool: WorkerPool,
    settings: RelayFile,
}

/// Tells which routes are in force.
struct RouteStatus {
    core: Arc<PlatformCore>,
    settings: RelayFile,
}

impl StatusSource for RouteStatus {
    fn table_status(&self) -> TableStatus {
        let book = self.core.routes.load();
        TableStatus {
            cut_off_since: None,
            digest: 0,
            instance: self.settings.instance.clone(),
            since: 0,
            version: book.as_ref().map_or(0, |book| book.version),
            zone: self.settings.zone.clone(),
        }
    }
}

impl RelayProcess {
    /// Closes the parts: not ready first, then the callers' connections, then the rest. Gives how many requests were cut.
    pub async fn close(self) -> usize {
        self.board
            .block(CLOSING_CONDITION, "this instance is closing");
        let close = &self.settings.close;
        let cut = self.callers.close(close.settle, close.limit).await;
        if !self.pool.close(POOL_CLOSE_LIMIT).await {
            tracing::warn!("background work did not end in time");
        }
        self.admin.close(ADMIN_CLOSE_LIMIT).await;
        cut
    }

    /// Reads the settings again. Those of sockets, the store and the log stay until the next start.
    fn reload(&mut self, reader: &SettingsReader) {
        match reader.read() {
            Ok(settings) => {
                let live = relay_settings(&settings);
                self.core.quotas.table.lock().set_rule(live.quotas);
                self.core.settings.store(Arc::new(live));
                tracing::info!("settings read again");
                self.settings = settings;
            }
            Err(error) => tracing::error!(%error, "the settings stay as they were"),
        }
    }

    /// Runs an instance until a signal tells it to close.
    ///
    /// # Errors
    ///
    /// A socket can't be opened, or the close cut requests off.
    pub async fn run(settings: RelayFile, reader: SettingsReader) -> Result<(), RunError> {
        let mut signals = ProcessSignals::new()?;
        let mut process = Self::start(settings).await?;
        while signals.any().await == ProcessSignal::Reload {
            process.reload(&reader);
        }
        tracing::info!("closing");
        let cut = process.close().await;
        if cut > 0 {
            return CutByCloseSnafu {
                cause: "the close limit",
                count: cut as u64,
            }
            .fail();
        }
        Ok(())
    }

    /// Opens the sockets, prints the line with their addresses before any log line, and starts the parts.
    ///
    /// # Errors
    ///
    /// A socket can't be opened.
    pub async fn start(settings: RelayFile) -> Result<Self, RunError> {
        let admin = bind_tcp("listen.admin", settings.listen.admin).await?;
        let callers = bind_tcp("listen.callers", settings.listen.callers).await?;
        let peers = UdpEnd::open(&settings)?;
        let line = ReadyLine {
            admin: admin.local_addr().context(RuntimeSnafu)?,
            callers: callers.local_addr().context(RuntimeSnafu)?,
            instance: settings.instance.clone(),
            peers: peers.as_ref().map(|end| end.row.address),
        };
        line.print()?;
        let core = Arc::new(RelayCore::new(HttpDialect, relay_settings(&settings)));
        let board = Arc::new(ReadyBoard::new());
        board.block(
            START_CONDITION,
            "the routes and the upstreams are not known yet",
        );
        let registry = Registry::new();
        core.counts.register(&registry).context(MetricsSnafu)?;
        let calls = StoreCalls::new();
        let map = StateMap::new();
        map.insert(Arc::new(calls.clone()));
        map.insert(core.crashes.clone());
        map.insert(Arc::new(core.freshness.clone()));
        map.insert(Arc::new(core.quotas.clone()));
        PluginEntry::register_metrics(&map, &registry);
        let state = AdminState::builder()
            .board(board.clone())
            .map(map)
            .registry(registry)
            .source(Arc::new(RouteStatus {
                core: core.clone(),
                settings: settings.clone(),
            }))
            .build();
        let admin = AdminServer::start(admin, state);
        let pool = WorkerPool::new();
        start_watch(&settings, &core, &pool, peers, calls);
        pool.spawn({
            let board = board.clone();
            let core = core.clone();
            async move {
                core.start.wait_open().await;
                board.clear(START_CONDITION);
                watch_keys(&core, &board).await;
            }
        });
        Ok(Self {
            admin,
            board,
            callers: CallerServer::start(callers, core.clone()),
            core,
            pool,
            settings,
        })
    }
}

/// Keeps the instance from being sent requests while it can't tell which keys hold.
async fn watch_keys(core: &PlatformCore, board: &ReadyBoard) {
    loop {
        match core.can_check_keys() {
            true => board.clear(KEYS_CONDITION),
            false => board.block(KEYS_CONDITION, "the keys may have changed meanwhile"),
        }
        time::sleep(KEYS_PERIOD).await;
    }
}

fn relay_settings(settings: &RelayFile) -> RelaySettings {
    let retries = &settings.retries;
    let bounds = RetryBounds::builder()
        .ratio(retries.ratio)
        .slack(retries.slack)
        .window(retries.window)
        .build();
    let customers = &settings.customers;
    RelaySettings::builder()
        .is_alone(settings.listen.peers.is_none())
        .maybe_revoked_within(customers.revoked_within)
        .quotas(QuotaRule {
            overage: customers.overage,
            slack: customers.slack,
            window: customers.window,
        })
        .connect_timeout(settings.upstreams.connect)
        .quarantine(settings.quarantine.life)
        .has_separate_prefill(settings.upstreams.reads_apart)
        .retries(bounds)
        .peer_timeout(settings.upstreams.unheard)
        .zone(settings.zone.clone())
        .zones(retries.zones.as_ref().map_or(1, Vec::len).max(1))
        .build()
}

fn stage_settings(settings: &RelayFile) -> StageSettings {
    let orders = &settings.orders;
    let goal = StageGoal::builder()
        .patience(orders.patience)
        .pause(orders.pause)
        .pressed_patience(orders.pressed_patience)
        .prefill_share(orders.prefill_share)
        .spare_floor(usize::try_from(orders.spare_floor).unwrap_or(usize::MAX))
        .build();
    // A restarted process is another holder: it can't know what the one before it ordered.
    let life = unix_time::micros(SystemTime::now());
    StageSettings::builder()
        .checks_fence(orders.checks_fence)
        .goal(goal)
        .holder(InstanceId::from(format!("{}/{life}", settings.instance)))
        .lease_life(orders.lease)
        .build()
}

/// Starts to read the store, by itself or together with the other instances of the zone.
fn start_watch(
    settings: &RelayFile,
    core: &Arc<PlatformCore>,
    pool: &WorkerPool,
    peers: Option<UdpEnd>,
    calls: StoreCalls,
) {
    let platform = &settings.platform;
    let links = ConnectionTimeouts::builder()
        .connect(platform.timeout)
        .peer_timeout(platform.timeout)
        .build();
    let store = Arc::new(RowStore::new(platform.address, links, calls));
    if settings.orders.enabled {
        let leases = Arc::new(store.for_reason(CallReason::Lease));
        let keeper = StageController::new(core.clone(), leases, stage_settings(settings));
        pool.spawn(keeper.run());
    }
    let Some(end) = peers else {
        let times = watch_times(settings, platform.timeout, STORE_RETRY_PAUSE);
        return spawn_watch(core, store, times, pool);
    };
    let times = SpreadTimes::builder()
        .period(platform.list_poll)
        .read_timeout(platform.timeout)
        .build();
    let shared = SharedSource::builder()
        .counts(core.counts.clone())
        .directory_store(Arc::new(store.for_reason(CallReason::Directory)))
        .endpoint(end.endpoint)
        .first_start(settings.first_start)
        .freshness(core.freshness.clone())
        .keys(end.keys)
        .own(end.row)
        .pool(pool)
        .quarantine(settings.quarantine.life)
        .quotas(core.quotas.clone())
        .reader(core.reader.clone())
        .report_wait(platform.poll)
        .store(store)
        .times(times)
        .zone_size(core.zone_size.clone())
        .build();
    spawn_watch(
        core,
        Arc::new(shared),
        watch_times(settings, SHARED_READ_LIMIT, SHARED_RETRY_PAUSE),
        pool,
    );
}

fn spawn_watch<S: OperatorSource>(
    core: &Arc<PlatformCore>,
    source: Arc<S>,
    times: WatchTimes,
    pool: &WorkerPool,
) {
    let watch = Arc::new(SourceWatch::new(core.clone(), source, times));
    pool.spawn({
        let watch = watch.clone();
        async move { watch.watch_routes().await }
    });
    pool.spawn({
        let watch = watch.clone();
        async move { watch.watch_reports().await }
    });
    pool.spawn({
        let watch = watch.clone();
        async move { watch.write_reports().await }
    });
    pool.spawn(async move { watch.watch_upstreams().await });
}

fn watch_times(settings: &RelayFile, read_limit: Duration, list_retry: Duration) -> WatchTimes {
    let platform = &settings.platform;
    // Each answer to a watch tells anew that the keys are those in force.
    let within = settings.customers.revoked_within;
    let watch_wait = within.map_or(platform.poll, |within| platform.poll.min(within / 5));
    WatchTimes::builder()
        .lapse(settings.upstreams.heartbeat * LAPSE_HEARTBEATS)
        .list_retry(list_retry)
        .list_period(platform.list_poll)
        .read_limit(read_limit)
        .retry_pause(STORE_RETRY_PAUSE)
        .watch_wait(watch_wait)
        .build()
}
