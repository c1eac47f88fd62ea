//! The request path, from the callers' socket to the upstreams, with the control work around it.

use {
    crate::{
        RunError,
        admin::StatusSource,
        entry::{
            AllocatorMaker, BoardStatus, CloseReport, EntryParts, ListPoller, SoloMembers,
            TableDriver, load_keys, table_driver::TABLE_TAG,
        },
        run_error::{KeysSnafu, MetricsSnafu, PlatformSnafu},
        settings::{EntrySettings, UpstreamSettings},
    },
    door::{AdmissionGate, DoorDefaults, DoorLimits, DoorServer, DoorShared},
    engine::CompletionEngine,
    flow::{
        AllocatorSeats, CELL_TAG, CellHub, CellTable, FlowMetrics, FlowShared, GrantRouter,
        LoadPoller, PlainCaller, SessionHost, StreamCanceller, StreamSweeper, TableBoard,
        UpstreamBoard,
    },
    kernel::{CloseSignal, WorkerPool},
    peer::{PeerBook, PeerEndpoint},
    plat::{
        HttpPlatform, InstanceKind, InstanceRecord, InstanceState, PollPlan, PollSettings,
        TableRepository,
    },
    route::UpstreamRole,
    snafu::ResultExt,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle, time},
};

/// How often an allocator asks its engines for their load.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// How often an allocator compares the engines' streams with the members.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How long a connection to an upstream may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a short call to an engine may take.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after a cut in which answers still go out.
const CUT_GRACE: Duration = Duration::from_millis(500);

/// Everything between the callers' socket and the upstreams.
pub struct RequestPath {
    cut: CloseSignal,
    endpoint: PeerEndpoint,
    gate: Arc<AdmissionGate>,
    server: JoinHandle<bool>,
    signal: CloseSignal,
}

/// The parts that several others are made from.
struct PathBase {
    board: Arc<UpstreamBoard>,
    endpoint: PeerEndpoint,
    engine: CompletionEngine,
    hub: Arc<CellHub>,
    metrics: Arc<FlowMetrics>,
    platform: HttpPlatform,
    pool: WorkerPool,
    tables: Arc<TableBoard>,
}

/// The cells whose allocator this instance is.
type LocalCells = Arc<CellTable<AllocatorMaker, GrantRouter>>;

impl RequestPath {
    /// Takes no new request, lets queued and running ones end for at most `limit`, and counts those that it cuts off.
    pub async fn close(self, limit: Duration) -> CloseReport {
        self.gate.shut();
        let ended = time::timeout(limit, self.gate.empty()).await.is_ok();
        let cut = if ended { 0 } else { self.gate.open() as u64 };
        self.cut.raise();
        self.signal.raise();
        let _ = time::timeout(CUT_GRACE, self.server).await;
        self.endpoint.close().await;
        CloseReport { cut }
    }

    /// Where other instances send messages.
    ///
    /// # Errors
    ///
    /// The system does not know the socket's address.
    pub fn peers_address(&self) -> Result<SocketAddr, RunError> {
        self.endpoint.local_address().context(KeysSnafu)
    }

    /// Which table is in force.
    pub fn source(parts: &EntryParts) -> Arc<impl StatusSource + use<>> {
        let board = parts.map.get::<TableBoard>().unwrap_or_default();
        let identity = &parts.identity;
        Arc::new(BoardStatus {
            board,
            instance: identity.instance.clone(),
            zone: identity.zone.clone(),
        })
    }

    /// Starts to answer callers and peers.
    ///
    /// # Errors
    ///
    /// The address for peers can't be bound, the keys can't be used, or the platform's address is none.
    pub fn start(callers: TcpListener, parts: &EntryParts) -> Result<Self, RunError> {
        let base = PathBase::new(parts)?;
        let router = Arc::new(GrantRouter::new(
            base.hub.clone(),
            parts.identity.instance.clone(),
        ));
        let maker = AllocatorMaker::new(base.board.clone(), parts.identity.incarnation);
        let cells = CellTable::new(
            base.tables.clone(),
            maker,
            base.pool.clone(),
            router.clone(),
        );
        let cells = Arc::new(cells);
        base.start_control(parts, &cells, router);
        base.start_table(parts);
        let cut = CloseSignal::new();
        let gate = Arc::new(AdmissionGate::new(
            parts.settings.limits.open_requests as usize,
        ));
        let shared = base.door_shared(parts, cut.clone(), gate.clone());
        let signal = CloseSignal::new();
        let server = DoorServer::new(callers, Arc::new(shared));
        let server = tokio::spawn(server.run(signal.clone(), CUT_GRACE));
        Ok(Self {
            cut,
            endpoint: base.endpoint,
            gate,
            server,
            signal,
        })
    }
}

impl PathBase {
    fn new(parts: &EntryParts) -> Result<Self, RunError> {
        let settings = &parts.settings;
        let identity = &parts.identity;
        let board = Arc::new(UpstreamBoard::new(fixed_upstreams(settings)));
        let endpoint = bind_endpoint(parts)?;
        let engine = CompletionEngine::builder()
            .connect(CONNECT_TIMEOUT)
            .control(CONTROL_TIMEOUT)
            .idle(settings.limits.idle)
            .prefill(settings.limits.first_byte)
            .build();
        let hub = Arc::new(CellHub::new(
            identity.instance.clone(),
            identity.incarnation,
        ));
        let metrics = Arc::new(FlowMetrics::new().context(MetricsSnafu)?);
        let platform = HttpPlatform::builder()
            .address(format!("http://{}", settings.platform.address))
            .timeout(settings.platform.timeout)
            .build()
            .context(PlatformSnafu)?;
        let tables = Arc::new(TableBoard::new());
        parts.map.insert(board.clone());
        parts.map.insert(hub.clone());
        parts.map.insert(metrics.clone());
        parts.map.insert(tables.clone());
        let pool = parts.pool.clone();
        Ok(Self {
            board,
            endpoint,
            engine,
            hub,
            metrics,
            platform,
            pool,
            tables,
        })
    }

    fn canceller(&self) -> StreamCanceller<CompletionEngine> {
        StreamCanceller::new(
            self.board.clone(),
            self.engine.clone(),
            self.metrics.clone(),
            self.pool.clone(),
        )
    }

    fn door_shared(
        &self,
        parts: &EntryParts,
        cut: CloseSignal,
        gate: Arc<AdmissionGate>,
    ) -> DoorShared<CompletionEngine> {
        let settings = &parts.settings;
        let plain = PlainCaller::builder()
            .board(self.board.clone())
            .connect(CONNECT_TIMEOUT)
            .first_byte(settings.limits.first_byte)
            .seed(parts.identity.incarnation)
            .zone(parts.identity.zone.clone())
            .build();
        let flow = FlowShared {
            board: self.board.clone(),
            canceller: self.canceller(),
            cut,
            engine: self.engine.clone(),
            hub: self.hub.clone(),
            metrics: self.metrics.clone(),
        };
        DoorShared {
            defaults: door_defaults(settings),
            flow: Arc::new(flow),
            gate,
            limits: door_limits(settings),
            plain: Arc::new(plain),
            tables: self.tables.clone(),
            zone: parts.identity.zone.clone(),
        }
    }

    /// Starts what finds the allocators, and what the allocators here need.
    fn start_control(&self, parts: &EntryParts, cells: &LocalCells, router: Arc<GrantRouter>) {
        let identity = &parts.identity;
        let members = Arc::new(SoloMembers {
            incarnation: identity.incarnation,
            instance: identity.instance.clone(),
        });
        let seats = AllocatorSeats::builder()
            .board(self.board.clone())
            .cells(cells.clone())
            .endpoint(self.endpoint.clone())
            .hub(self.hub.clone())
            .instance(identity.instance.clone())
            .members(members.clone())
            .pool(self.pool.clone())
            .zone(identity.zone.clone())
            .build();
        let poller = LoadPoller::builder()
            .board(self.board.clone())
            .cells(cells.clone())
            .engine(self.engine.clone())
            .interval(LOAD_INTERVAL)
            .zone(identity.zone.clone())
            .build();
        let sweeper = StreamSweeper::builder()
            .board(self.board.clone())
            .canceller(self.canceller())
            .cells(cells.clone())
            .engine(self.engine.clone())
            .interval(SWEEP_INTERVAL)
            .lives(members)
            .zone(identity.zone.clone())
            .build();
        let host = SessionHost::new(cells.clone(), self.pool.clone(), router);
        let sessions = self.endpoint.register(CELL_TAG);
        let tables = cells.clone();
        self.pool.spawn(seats.run());
        self.pool.spawn(poller.run());
        self.pool.spawn(sweeper.run());
        self.pool.spawn(host.run(sessions));
        self.pool.spawn(async move { tables.run_tables().await });
    }

    /// Starts what brings the table and the list of instances here.
    fn start_table(&self, parts: &EntryParts) {
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
            .board(self.tables.clone())
            .endpoint(self.endpoint.clone())
            .instance(identity.instance.clone())
            .plan(plan)
            .pool(self.pool.clone())
            .ready(parts.board.clone())
            .repository(TableRepository::new(self.platform.clone()))
            .build();
        let driver = Arc::new(driver);
        let pulls = self.endpoint.register(TABLE_TAG);
        let (list, _) = watch::channel(Vec::new());
        let poller = ListPoller::new(
            self.board.clone(),
            settings.list_poll,
            list,
            self.platform.clone(),
        );
        self.pool.spawn(driver.clone().run_pulls(pulls));
        self.pool.spawn(driver.run_ticks());
        self.pool.spawn(poller.run());
    }
}

fn bind_endpoint(parts: &EntryParts) -> Result<PeerEndpoint, RunError> {
    let keys = load_keys(&parts.settings.keys)?;
    let book = PeerBook::new();
    for peer in &parts.settings.peers {
        book.set(peer.instance.clone(), peer.address);
    }
    PeerEndpoint::builder()
        .address(parts.settings.listen.peers)
        .book(book)
        .incarnation(parts.identity.incarnation)
        .instance(parts.identity.instance.clone())
        .keys(&keys)
        .build()
        .context(KeysSnafu)
}

fn door_defaults(settings: &EntrySettings) -> DoorDefaults {
    DoorDefaults {
        chat: settings.defaults.chat.clone(),
        completions: settings.defaults.completions.clone(),
        services: settings.defaults.services.clone(),
    }
}

fn door_limits(settings: &EntrySettings) -> DoorLimits {
    DoorLimits::builder()
        .body(settings.limits.body as usize)
        .headers(settings.limits.headers as usize)
        .open_requests(settings.limits.open_requests as usize)
        .build()
}

fn fixed_upstreams(settings: &EntrySettings) -> Vec<InstanceRecord> {
    settings.upstreams.iter().map(fixed_upstream).collect()
}

fn fixed_upstream(upstream: &UpstreamSettings) -> InstanceRecord {
    InstanceRecord {
        address: upstream.address.to_string().into(),
        checks_fence: upstream.checks_fence,
        kind: match upstream.role {
            UpstreamRole::Decode => InstanceKind::Decode,
            UpstreamRole::Plain => InstanceKind::Plain,
            UpstreamRole::Prefill => InstanceKind::Prefill,
        },
        model: upstream.model.clone(),
        name: upstream.name.clone(),
        service: Some(upstream.service.clone()),
        state: InstanceState::Live,
        zone: upstream.zone.clone(),
    }
}
