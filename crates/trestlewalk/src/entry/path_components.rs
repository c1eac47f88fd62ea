//! The components from which the request path and the background tasks are built.

use {
    crate::{
        RunError,
        entry::{EntryParts, PlatformHealth, load_keys},
        run_error::{MetricsSnafu, PlatformSnafu},
        settings::{EntrySettings, UpstreamSettings},
    },
    door::{AdmissionGate, ApiContext, ApiDefaults, ApiLimits},
    engine::CompletionEngine,
    flow::{
        CellHub, CurrentTable, FlowMetrics, FlowShared, PlainCaller, PlainLimiter, ShareView,
        StreamCanceller, UpstreamRegistry,
    },
    kernel::{ShutdownSignal, WorkerPool},
    peer::{AddressTable, PeerEndpoint, PeerError},
    plat::{BudgetPlatform, CallRate, HttpPlatform, InstanceKind, InstanceRecord, InstanceState},
    route::UpstreamRole,
    snafu::ResultExt,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// The timeout for opening a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of control calls to an engine, such as a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// The rate of reads of one instance: a tenth of what the platform accepts.
const READ_RATE: CallRate = CallRate {
    burst: 200.0,
    per_second: 200.0,
};
/// The rate of writes of one instance: nine instances together stay within what the platform accepts.
const WRITE_RATE: CallRate = CallRate {
    burst: 100.0,
    per_second: 50.0,
};

/// The client by which an entry instance calls the platform, within a budget of calls.
pub type EntryPlatform = BudgetPlatform<HttpPlatform>;

/// The components that the request path and the background tasks share.
pub struct PathComponents {
    /// The known upstreams and their states.
    pub registry: Arc<UpstreamRegistry>,
    /// The links to other instances.
    pub endpoint: PeerEndpoint,
    /// The client that calls engines.
    pub engine: CompletionEngine,
    /// Whether the platform answers.
    pub health: Arc<PlatformHealth>,
    /// The sessions with the allocators.
    pub hub: Arc<CellHub>,
    /// Enforces the limits of plain rows.
    pub limiter: Arc<PlainLimiter>,
    /// The metrics of requests.
    pub metrics: Arc<FlowMetrics>,
    /// The client that calls the platform.
    pub platform: EntryPlatform,
    /// The pool in which background tasks run.
    pub pool: WorkerPool,
    /// The table in force.
    pub current_table: Arc<CurrentTable>,
}

impl PathComponents {
    /// Creates the components, and puts those that plug-ins dump into the state map.
    ///
    /// # Errors
    ///
    /// The address for peers can't be bound, the keys can't be used, or the platform's address is invalid.
    pub fn new(parts: &EntryParts) -> Result<Self, RunError> {
        let settings = &parts.settings;
        let identity = &parts.identity;
        let platform = make_platform(settings)?;
        let health = PlatformHealth::new(platform.counts()).context(MetricsSnafu)?;
        let registry = Arc::new(UpstreamRegistry::new(fixed_upstreams(settings)));
        let components = Self {
            endpoint: bind_endpoint(parts)?,
            engine: make_engine(settings),
            health: Arc::new(health),
            hub: Arc::new(CellHub::new(
                identity.instance.clone(),
                identity.incarnation,
                registry.clone(),
            )),
            limiter: Arc::new(PlainLimiter::new(ShareView {
                instance: identity.instance.clone(),
                members: BTreeSet::from([identity.instance.clone()]),
                zone: identity.zone.clone(),
                zones: BTreeSet::from([identity.zone.clone()]),
            })),
            metrics: Arc::new(FlowMetrics::new().context(MetricsSnafu)?),
            platform,
            pool: parts.pool.clone(),
            registry,
            current_table: Arc::new(CurrentTable::new()),
        };
        parts.map.insert(components.health.clone());
        parts.map.insert(components.registry.clone());
        parts.map.insert(components.hub.clone());
        parts.map.insert(components.limiter.clone());
        parts.map.insert(components.metrics.clone());
        parts.map.insert(components.current_table.clone());
        Ok(components)
    }

    /// Creates what cancels streams in the background.
    pub fn canceller(&self) -> StreamCanceller<CompletionEngine> {
        StreamCanceller::new(
            self.registry.clone(),
            self.engine.clone(),
            self.metrics.clone(),
            self.pool.clone(),
        )
    }

    /// The state that the handlers of callers' requests share.
    pub fn api_context(
        &self,
        parts: &EntryParts,
        cut: ShutdownSignal,
        gate: Arc<AdmissionGate>,
    ) -> ApiContext<CompletionEngine> {
        let settings = &parts.settings;
        let plain = PlainCaller::builder()
            .registry(self.registry.clone())
            .connect(CONNECT_TIMEOUT)
            .first_byte(settings.limits.first_byte)
            .seed(parts.identity.incarnation)
            .zone(parts.identity.zone.clone())
            .build();
        let flow = FlowShared {
            registry: self.registry.clone(),
            canceller: self.canceller(),
            cut,
            engine: self.engine.clone(),
            hub: self.hub.clone(),
            metrics: self.metrics.clone(),
        };
        ApiContext {
            defaults: api_defaults(settings),
            flow: Arc::new(flow),
            gate,
            limiter: self.limiter.clone(),
            limits: api_limits(settings),
            plain: Arc::new(plain),
            tables: self.current_table.clone(),
            zone: parts.identity.zone.clone(),
        }
    }
}

fn bind_endpoint(parts: &EntryParts) -> Result<PeerEndpoint, RunError> {
    let keys = load_keys(&parts.settings.keys)?;
    let book = AddressTable::new();
    for peer in &parts.settings.peers {
        book.set(peer.instance.clone(), peer.address);
    }
    PeerEndpoint::builder()
        .address(parts.settings.listen.peers)
        .addresses(book)
        .incarnation(parts.identity.incarnation)
        .instance(parts.identity.instance.clone())
        .keys(&keys)
        .build()
        .map_err(bind_error)
}

/// Converts the error, and names the field of the settings when the address can't be bound.
fn bind_error(error: PeerError) -> RunError {
    match error {
        PeerError::Bind { address, source } => RunError::Bind {
            address,
            field: "listen.peers",
            source,
        },
        source => RunError::Peers { source },
    }
}

fn api_defaults(settings: &EntrySettings) -> ApiDefaults {
    ApiDefaults {
        chat: settings.defaults.chat.clone(),
        completions: settings.defaults.completions.clone(),
        services: settings.defaults.services.clone(),
    }
}

fn api_limits(settings: &EntrySettings) -> ApiLimits {
    ApiLimits::builder()
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

fn make_engine(settings: &EntrySettings) -> CompletionEngine {
    CompletionEngine::builder()
        .connect(CONNECT_TIMEOUT)
        .control(CONTROL_TIMEOUT)
        .idle(settings.limits.idle)
        .prefill(settings.limits.first_byte)
        .build()
}

fn make_platform(settings: &EntrySettings) -> Result<EntryPlatform, RunError> {
    let platform = HttpPlatform::builder()
        .address(format!("http://{}", settings.platform.address))
        .timeout(settings.platform.timeout)
        .build()
        .context(PlatformSnafu)?;
    Ok(BudgetPlatform::new(platform, READ_RATE, WRITE_RATE))
}
