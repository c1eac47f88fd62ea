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
/// The tag of pulls of the table.
pub const TABLE_TAG: ProtocolTag = 2;
/// Tags from here on belong to other parts of the system.
pub const FIRST_FREE_TAG: ProtocolTag = 16;

const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
const UPDATE_BUFFER: usize = 1_024;

/// The handle of the running membership. Clones share it. Put an `Arc` of it into the state map for dump and metrics.
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
    /// Starts the membership. `advertise` is where the peers reach this instance; `contacts` are the instances that the
    /// settings name.
    ///
    /// # Errors
    ///
    /// When the endpoint's socket is gone.
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
    /// Tells the neighbours that this life is over and ends the tasks. The endpoint stays open.
    pub async fn close(self) {
        self.pool.close(CLOSE_TIMEOUT).await;
    }

    /// The endpoint.
    pub fn endpoint(&self) -> &PeerEndpoint {
        &self.endpoint
    }

    /// Marks an upstream as taking no new work, or takes this instance's mark back.
    pub fn mark(&self, upstream: UpstreamId, cause: Option<LeavingCause>) {
        self.command(MemberEvent::Mark { cause, upstream });
    }

    /// The counters of the membership.
    pub fn metrics(&self) -> &MemberMetrics {
        &self.metrics
    }

    /// What happens from now on. One who reads too slowly loses the oldest and should look at the view anew.
    pub fn updates(&self) -> broadcast::Receiver<MemberUpdate> {
        self.updates.subscribe()
    }

    /// Asks a peer for the table's changes after a version, 0 for all; none when it has none or does not answer.
    pub async fn pull_table(&self, from: &InstanceId, since: TableVersion) -> Option<Bytes> {
        self.metrics.pulls.inc();
        let content = driver_task::request_table(&self.endpoint, from, since).await;
        if content.is_none() {
            self.metrics.pulls_failed.inc();
        }
        content
    }

    /// States the summary of a cell that this instance allocates.
    pub fn set_cell(&self, summary: CellSummary) {
        self.command(MemberEvent::Cell(summary));
    }

    /// Takes the instances that the settings or the platform's list name.
    pub fn set_listed(&self, members: Vec<ListedMember>) {
        for member in &members {
            self.endpoint
                .addresses()
                .set(member.instance.clone(), member.address);
        }
        self.command(MemberEvent::Listed(members));
    }

    /// States that the platform answered this instance a call that was sent at `at`.
    pub fn set_platform_contact(&self, at: Instant) {
        self.command(MemberEvent::PlatformContact(at));
    }

    /// States whether this instance takes requests.
    pub fn set_state(&self, state: MemberState) {
        self.command(MemberEvent::State(state));
    }

    /// States which table is in force here.
    pub fn set_table(&self, mark: TableRevision) {
        self.command(MemberEvent::Table(mark));
    }

    /// The newest picture of the membership.
    pub fn view(&self) -> Arc<MemberView> {
        self.view.load_full()
    }

    fn command(&self, event: MemberEvent) {
        // After the close nobody listens, and nothing is to be done.
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
