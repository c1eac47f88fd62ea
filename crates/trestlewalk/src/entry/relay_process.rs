//! An instance that serves the operators' routes without an allocator, from start to close.

use {
    crate::{
        RunError,
        admin::{
            AdminServer, AdminState, ReadinessState, StatusSource, TableStatus,
            readiness_state::CLOSING_CONDITION,
        },
        entry::{PeerSocket, ProcessSignal, ProcessSignals, ReadyLine, bind_tcp},
        run_error::{CutByCloseSnafu, MetricsSnafu, RuntimeSnafu},
        settings::{RelayCapacity, RelayFile, SettingsReader},
    },
    forward::Forwarding,
    kernel::{InstanceId, PluginEntry, StateMap, WorkerPool, unix_time},
    platform::{HttpDialect, RowStore},
    policy::{QuotaRule, RetryBounds, StageGoal},
    prometheus::Registry,
    relay::{
        CallReason, CallerServer, CapacityReader, ConnectionTimeouts, OperatorSource, RateNews,
        RelayCore, RelaySettings, SourceWatch, StageController, StageSettings, StoreCalls,
        WatchTimes,
    },
    snafu::ResultExt,
    spread::{LoneSource, SharedSource, SpreadTimes},
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::time,
};

/// The share of the memory for bodies that wait for slow readers. The list of upstreams, connections and the allocator's
/// reserve take the rest.
const BUFFER_SHARE: f64 = 0.25;
/// The share of the memory for requests that wait for the schedulers of this instance.
const WAITING_SHARE: f64 = 1.0 / 16.0;
const ADMIN_CLOSE_LIMIT: Duration = Duration::from_millis(200);
const POOL_CLOSE_LIMIT: Duration = Duration::from_millis(200);
/// The condition that the instance knows the customers' keys that are in force.
const KEYS_CONDITION: &str = "keys";
/// How often that condition is checked. The balancer probes once a second.
const KEYS_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// The condition that the first read of the routes and the upstreams has succeeded.
const START_CONDITION: &str = "routes";
/// The timeout of a read, through other instances or alone. Each of its steps has a timeout of its own; this one covers
/// faults in them.
const READ_LIMIT: Duration = Duration::from_secs(10);
/// The heartbeats after which an entry of the list lapses in an outage. Entries lapse after three heartbeats without a
/// report, and the last report may have come up to one heartbeat before the outage.
const LAPSE_HEARTBEATS: u32 = 2;
/// The pause after a failed read through other instances; short, because such a read paces its own calls.
const SHARED_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The pause after a failed read of the store.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The request path on this platform.
type PlatformCore = RelayCore<HttpDialect>;

/// A running instance.
pub struct RelayProcess {
    admin: AdminServer,
    readiness: Arc<ReadinessState>,
    callers: CallerServer,
    core: Arc<PlatformCore>,
    /// `None` without other instances.
    forwarding: Option<Forwarding<HttpDialect>>,
    pool: WorkerPool,
    settings: RelayFile,
}

/// Reports the version of the routes in force.
struct RouteStatus {
    core: Arc<PlatformCore>,
    settings: RelayFile,
}

impl StatusSource for RouteStatus {
    fn table_status(&self) -> TableStatus {
        let routes = self.core.routes.load();
        TableStatus {
            cut_off_since: None,
            digest: 0,
            instance: self.settings.instance.clone(),
            since: 0,
            version: routes.as_ref().map_or(0, |routes| routes.version),
            zone: self.settings.zone.clone(),
        }
    }
}

impl RelayProcess {
    /// Closes the instance: it stops being ready, then the callers' connections close, then the rest. Returns how many
    /// requests were cut off.
    pub async fn close(self) -> usize {
        self.readiness
            .block(CLOSING_CONDITION, "this instance is closing");
        let settle = self.settings.close.settle();
        let limit = self.settings.close.limit();
        let forwarding = async {
            match self.forwarding {
                Some(forwarding) => forwarding.close(limit).await,
                None => 0,
            }
        };
        let callers = self.callers.close(settle, limit);
        let (cut, cut_forwarded) = tokio::join!(callers, forwarding);
        if !self.pool.close(POOL_CLOSE_LIMIT).await {
            tracing::warn!("background work did not end in time");
        }
        self.admin.close(ADMIN_CLOSE_LIMIT).await;
        cut + cut_forwarded + self.core.close_clock.cut_requests()
    }

    /// Reloads the settings. Changes to sockets, the store and the log take effect at the next start only.
    fn reload(&mut self, reader: &SettingsReader) {
        match reader.read() {
            Ok(settings) => {
                let live = relay_settings(&settings);
                self.core.quotas.table.lock().set_rule(live.quotas);
                self.core.settings.store(Arc::new(live));
                tracing::info!("settings read again");
                self.settings = settings;
            }
            Err(error) => {
                tracing::error!(%error, "the settings can't be reloaded and stay as they were")
            }
        }
    }

    /// Runs an instance until a signal closes it; SIGHUP reloads the settings.
    ///
    /// # Errors
    ///
    /// A socket can't be opened, or the close cut requests off.
    pub async fn run(settings: RelayFile, reader: SettingsReader) -> Result<(), RunError> {
        let mut signals = ProcessSignals::new()?;
        let mut process = Self::start(settings).await?;
        while signals.wait_any().await == ProcessSignal::Reload {
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

    /// Opens the sockets, prints the line with their addresses ahead of all log lines, and starts the parts.
    ///
    /// # Errors
    ///
    /// A socket can't be opened.
    pub async fn start(settings: RelayFile) -> Result<Self, RunError> {
        let admin = bind_tcp("listen.admin", settings.listen.admin).await?;
        let callers = bind_tcp("listen.callers", settings.listen.callers).await?;
        let peers = PeerSocket::open(&settings)?;
        let line = ReadyLine {
            admin: admin.local_addr().context(RuntimeSnafu)?,
            callers: callers.local_addr().context(RuntimeSnafu)?,
            instance: settings.instance.clone(),
            peers: peers.as_ref().map(|socket| socket.row.address),
        };
        line.print()?;
        let core = Arc::new(RelayCore::new(HttpDialect, relay_settings(&settings)));
        let readiness = Arc::new(ReadinessState::new());
        readiness.block(
            START_CONDITION,
            "the routes and the upstreams are not known yet",
        );
        let registry = Registry::new();
        core.counts.register(&registry).context(MetricsSnafu)?;
        core.places
            .counts
            .register(&registry)
            .context(MetricsSnafu)?;
        let calls = StoreCalls::new();
        let map = StateMap::new();
        map.insert(Arc::new(calls.clone()));
        map.insert(core.crashes.clone());
        map.insert(Arc::new(core.freshness.clone()));
        map.insert(Arc::new(core.quotas.clone()));
        map.insert(Arc::new(RateNews::new(
            core.upstreams.clone(),
            core.counts.clone(),
        )));
        map.insert(Arc::new(core.software.clone()));
        map.insert(Arc::new(core.places.clone()));
        core.schedulers.bound(waiting_bytes(&settings.capacity));
        map.insert(Arc::new(core.schedulers.clone()));
        map.insert(core.upstreams.clone());
        if let Some(socket) = &peers {
            map.insert(Arc::new(socket.endpoint.clone()));
        }
        PluginEntry::register_metrics(&map, &registry);
        let state = AdminState::builder()
            .readiness(readiness.clone())
            .map(map)
            .registry(registry)
            .source(Arc::new(RouteStatus {
                core: core.clone(),
                settings: settings.clone(),
            }))
            .build();
        let admin = AdminServer::start(admin, state);
        let pool = WorkerPool::new();
        let forwarding = peers
            .as_ref()
            .map(|socket| Forwarding::start(&core, &socket.endpoint, &pool));
        start_watch(&settings, &core, &pool, peers, calls);
        pool.spawn({
            let readiness = readiness.clone();
            let core = core.clone();
            async move {
                core.start.wait_open().await;
                readiness.clear(START_CONDITION);
                watch_keys(&core, &readiness).await;
            }
        });
        Ok(Self {
            admin,
            readiness,
            callers: CallerServer::start(callers, core.clone()),
            core,
            forwarding,
            pool,
            settings,
        })
    }
}

/// Keeps the instance not ready while it does not know which keys are in force. Never returns.
async fn watch_keys(core: &PlatformCore, readiness: &ReadinessState) {
    loop {
        match core.can_check_keys() {
            true => readiness.clear(KEYS_CONDITION),
            false => readiness.block(KEYS_CONDITION, "the keys may have changed meanwhile"),
        }
        time::sleep(KEYS_CHECK_PERIOD).await;
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
        .buffer_bytes(buffer_bytes(&settings.capacity))
        .instance(settings.instance.clone())
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
        .regions(settings.regions.clone())
        .retries(bounds)
        .scheduled_engines(settings.placement.min_engines)
        .peer_timeout(settings.upstreams.unheard)
        .zone(settings.zone.clone())
        .zones(retries.zones.as_ref().map_or(1, Vec::len).max(1))
        .build()
}

/// The part of the memory that requests may take while they wait for the schedulers of this instance, bytes.
fn waiting_bytes(capacity: &RelayCapacity) -> usize {
    (capacity.memory_bytes() * WAITING_SHARE) as usize
}

/// The part of the memory that bodies may take while they wait for slow readers, bytes.
fn buffer_bytes(capacity: &RelayCapacity) -> usize {
    (capacity.memory_bytes() * BUFFER_SHARE) as usize
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
    // A restarted process is a new holder of the lease, since it does not know the orders of the process before it.
    let life = unix_time::micros(SystemTime::now());
    StageSettings::builder()
        .checks_fence(orders.checks_fence)
        .goal(goal)
        .holder(InstanceId::from(format!("{}/{life}", settings.instance)))
        .lease_life(orders.lease)
        .build()
}

/// Starts reading the store, alone or together with the other instances of the availability zone.
fn start_watch(
    settings: &RelayFile,
    core: &Arc<PlatformCore>,
    pool: &WorkerPool,
    peers: Option<PeerSocket>,
    calls: StoreCalls,
) {
    let mut upstreams = core.upstreams.lock();
    upstreams.set_heartbeat(settings.upstreams.heartbeat);
    drop(upstreams);
    let platform = &settings.platform;
    let links = ConnectionTimeouts::builder()
        .connect(platform.timeout)
        .peer_timeout(platform.timeout)
        .build();
    let store = Arc::new(RowStore::new(platform.address, links, calls));
    if settings.orders.enabled {
        let leases = Arc::new(store.for_reason(CallReason::Lease));
        let controller = StageController::new(core.clone(), leases, stage_settings(settings));
        pool.spawn(controller.run());
    }
    let Some(socket) = peers else {
        let versions = Arc::new(store.for_reason(CallReason::Directory));
        let source = LoneSource::new(versions, platform.timeout, core.software.clone(), store);
        let times = watch_times(settings, READ_LIMIT, STORE_RETRY_PAUSE);
        return spawn_watch(core, Arc::new(source), times, pool);
    };
    pool.spawn(CapacityReader::new(core.clone()).run());
    let times = SpreadTimes::builder()
        .period(platform.list_poll)
        .read_timeout(platform.timeout)
        .build();
    let shared = SharedSource::builder()
        .counts(core.counts.clone())
        .directory_store(Arc::new(store.for_reason(CallReason::Directory)))
        .endpoint(socket.endpoint)
        .first_start(settings.first_start)
        .fleet(core.fleet.clone())
        .freshness(core.freshness.clone())
        .keys(socket.keys)
        .note_store(Arc::new(store.for_reason(CallReason::Notes)))
        .own(socket.row)
        .pool(pool)
        .quarantine(settings.quarantine.life)
        .quotas(core.quotas.clone())
        .maybe_places(settings.placement.shared.then(|| core.places.clone()))
        .rates(RateNews::new(core.upstreams.clone(), core.counts.clone()))
        .reader(core.reader.clone())
        .report_wait(platform.poll)
        .schedulers(core.schedulers.clone())
        .software(core.software.clone())
        .store(store)
        .times(times)
        .build();
    spawn_watch(
        core,
        Arc::new(shared),
        watch_times(settings, READ_LIMIT, SHARED_RETRY_PAUSE),
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
    pool.spawn({
        let watch = watch.clone();
        async move { watch.end_graces().await }
    });
    pool.spawn(async move { watch.watch_upstreams().await });
}

fn watch_times(settings: &RelayFile, read_limit: Duration, list_retry: Duration) -> WatchTimes {
    let platform = &settings.platform;
    // Each answer to a watch confirms that the known keys are in force, so a wait lasts at most a fifth of
    // `revoked_within`.
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
