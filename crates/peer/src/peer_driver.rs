//! Runs the membership over an endpoint.

use {
    crate::{
        ProtocolTag,
        cell_summary::CellSummary,
        driver_task::{self, DriverTask},
        member_event::{ListedMember, MemberEvent},
        member_metrics::MemberMetrics,
        member_settings::MemberSettings,
        member_state::MemberState,
        member_table::MemberTable,
        member_update::MemberUpdate,
        member_view::MemberView,
        peer_endpoint::PeerEndpoint,
        peer_error::PeerError,
        table_revision::TableRevision,
        table_source::TableSource,
    },
    arc_swap::ArcSwap,
    bon::bon,
    bytes::Bytes,
    kernel::{InstanceId, PluginEntry, StateMap, TableVersion, UpstreamId, WorkerPool, ZoneId},
    prometheus::Registry,
    route::load_report::LeavingCause,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{broadcast, mpsc},
};

/// The tag of the membership's messages.
pub const MEMBER_TAG: ProtocolTag = 1;
/// The tag of table pulls.
pub const TABLE_TAG: ProtocolTag = 2;
/// The first tag for other parts of the system.
pub const FIRST_FREE_TAG: ProtocolTag = 16;

const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
const UPDATE_BUFFER: usize = 1_024;

/// A handle to the running membership, shared by clones. An `Arc` of it in the state map adds the dump and the metrics.
#[derive(Clone, Debug)]
pub struct PeerDriver {
    commands: mpsc::UnboundedSender<MemberEvent>,
    endpoint: PeerEndpoint,
    metrics: MemberMetrics,
    updates: broadcast::Sender<MemberUpdate>,
    pool: WorkerPool,
    view: Arc<ArcSwap<MemberView>>,
}

#[bon]
impl PeerDriver {
    /// Starts the membership. `advertise` is the address at which peers reach this instance; `None` is the endpoint's own.
    /// `contacts` are the instances named by the settings.
    ///
    /// # Errors
    ///
    /// When the endpoint's local address can't be read.
    #[builder(finish_fn = start)]
    pub fn new<S: TableSource>(
        advertise: Option<SocketAddr>,
        #[builder(default)] contacts: Vec<ListedMember>,
        endpoint: PeerEndpoint,
        #[builder(default)] settings: MemberSettings,
        source: Arc<S>,
        zone: ZoneId,
    ) -> Result<Self, PeerError> {
        let address = match advertise {
            Some(address) => address,
            None => endpoint.local_address()?,
        };
        let now = Instant::now();
        let instance = endpoint.instance().clone();
        let identity = MemberTable::identity(instance, endpoint.incarnation(), zone, address);
        let table = MemberTable::new(now, identity, Default::default(), settings);
        let (commands, receiver) = mpsc::unbounded_channel();
        let view = MemberView::new(now, &table);
        let driver = Self {
            commands,
            endpoint,
            metrics: MemberMetrics::new(),
            updates: broadcast::Sender::new(UPDATE_BUFFER),
            pool: WorkerPool::new(),
            view: Arc::new(ArcSwap::from_pointee(view)),
        };
        driver.set_table(source.revision());
        driver.set_listed(contacts);
        driver.run(table, source, receiver);
        Ok(driver)
    }
}

impl PeerDriver {
    /// Announces the shutdown to the neighbours and ends the tasks. The endpoint stays open.
    pub async fn close(self) {
        self.pool.close(CLOSE_TIMEOUT).await;
    }

    /// The endpoint that the membership uses.
    pub fn endpoint(&self) -> &PeerEndpoint {
        &self.endpoint
    }

    /// Marks an upstream as taking no new work; `None` withdraws this instance's mark.
    pub fn mark(&self, upstream: UpstreamId, cause: Option<LeavingCause>) {
        self.command(MemberEvent::Mark { cause, upstream });
    }

    /// The metrics of the membership.
    pub fn metrics(&self) -> &MemberMetrics {
        &self.metrics
    }

    /// Subscribes to updates. A subscriber that lags behind loses the oldest ones and should read the view again.
    pub fn updates(&self) -> broadcast::Receiver<MemberUpdate> {
        self.updates.subscribe()
    }

    /// Requests the table's changes after a version from a peer, 0 for all; `None` when it has none or does not answer.
    pub async fn pull_table(&self, from: &InstanceId, since: TableVersion) -> Option<Bytes> {
        self.metrics.pulls.inc();
        let content = driver_task::request_table(&self.endpoint, from, since).await;
        if content.is_none() {
            self.metrics.pulls_failed.inc();
        }
        content
    }

    /// Announces the summary of a cell whose allocator runs on this instance.
    pub fn set_cell(&self, summary: CellSummary) {
        self.command(MemberEvent::Cell(summary));
    }

    /// Adds the instances named by the settings or the platform's list.
    pub fn set_listed(&self, members: Vec<ListedMember>) {
        for member in &members {
            self.endpoint
                .addresses()
                .set(member.instance.clone(), member.address);
        }
        self.command(MemberEvent::Listed(members));
    }

    /// Reports that the platform answered a call that this instance sent at `at`.
    pub fn set_platform_contact(&self, at: Instant) {
        self.command(MemberEvent::PlatformContact(at));
    }

    /// Announces whether this instance takes requests.
    pub fn set_state(&self, state: MemberState) {
        self.command(MemberEvent::State(state));
    }

    /// Announces the table in force at this instance.
    pub fn set_table(&self, revision: TableRevision) {
        self.command(MemberEvent::Table(revision));
    }

    /// The newest snapshot of the membership.
    pub fn view(&self) -> Arc<MemberView> {
        self.view.load_full()
    }

    fn command(&self, event: MemberEvent) {
        // Sending fails only after the shutdown, when events no longer matter.
        let _ = self.commands.send(event);
    }

    fn dump(&self) -> Value {
        json!({
            "links": self.endpoint.metrics().to_json(),
            "members": *self.view(),
        })
    }

    fn run<S: TableSource>(
        &self,
        table: MemberTable,
        source: Arc<S>,
        commands: mpsc::UnboundedReceiver<MemberEvent>,
    ) {
        let pulls = self.endpoint.register(TABLE_TAG);
        self.pool
            .spawn(driver_task::serve_table(source.clone(), pulls));
        let task = DriverTask {
            commands,
            endpoint: self.endpoint.clone(),
            inbox: self.endpoint.register(MEMBER_TAG),
            metrics: self.metrics.clone(),
            updates: self.updates.clone(),
            own_commands: self.commands.clone(),
            signal: self.pool.signal(),
            source,
            table,
            view: self.view.clone(),
        };
        self.pool.spawn_watching(task.run());
    }
}

kernel::inventory::submit! {
    PluginEntry {
        dump: dump_section,
        metrics: register_metrics,
        name: "peer",
    }
}

fn dump_section(map: &StateMap) -> Option<Value> {
    Some(map.get::<PeerDriver>()?.dump())
}

fn register_metrics(map: &StateMap, registry: &Registry) {
    let Some(driver) = map.get::<PeerDriver>() else {
        return;
    };
    driver.endpoint.metrics().register(registry);
    driver.metrics.register(registry);
}
