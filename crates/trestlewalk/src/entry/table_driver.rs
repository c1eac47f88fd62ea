//! Drives the keeper of the table: polls the platform, pulls from peers, and puts tables in force.

use {
    crate::{
        admin::{ReadinessState, StatusSource, TableStatus},
        entry::{PlatformHealth, PlatformSample},
    },
    bytes::Bytes,
    flow::CurrentTable,
    kernel::{InstanceId, LockRank, RankedLock, TableVersion, WorkerPool, ZoneId, unix_time},
    peer::{MemberUpdate, PeerDriver, PeerError, TableRevision, peer_error::GarbledSnafu},
    plat::{EditOrigin, PollAction, PollEvent, PollPlan, RowStore, TableRepository},
    std::{
        sync::{Arc, OnceLock},
        time::{Duration, Instant, SystemTime},
    },
    table::{
        KeeperAction, KeeperEvent, StampedTable, TableHead, TableKeeper, TablePatch, TableSource,
    },
    tokio::{
        sync::{Notify, broadcast::error::RecvError},
        time,
    },
};

/// The condition that the instance has a table.
pub const TABLE_CONDITION: &str = "table";

/// How often the keeper and the polling plan get a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The state machines behind the driver.
struct DriverState {
    keeper: TableKeeper,
    plan: PollPlan,
    /// The head that the platform answered last; `None` before its first answer.
    platform_head: Option<TableHead>,
}

/// Keeps the table in force up to date.
pub struct TableDriver<S> {
    current_table: Arc<CurrentTable>,
    head_changed: Notify,
    health: Arc<PlatformHealth>,
    instance: InstanceId,
    peers: OnceLock<Arc<PeerDriver>>,
    pool: WorkerPool,
    readiness: Arc<ReadinessState>,
    repository: TableRepository<S>,
    state: RankedLock<DriverState>,
}

#[bon::bon]
impl<S: RowStore + 'static> TableDriver<S> {
    /// Creates a driver without a table, which keeps the instance not ready until it has one.
    #[builder]
    pub fn new(
        current_table: Arc<CurrentTable>,
        health: Arc<PlatformHealth>,
        instance: InstanceId,
        plan: PollPlan,
        pool: WorkerPool,
        readiness: Arc<ReadinessState>,
        repository: TableRepository<S>,
    ) -> Self {
        readiness.block(TABLE_CONDITION, "no table yet");
        let state = DriverState {
            keeper: TableKeeper::new(Instant::now()),
            plan,
            platform_head: None,
        };
        Self {
            current_table,
            head_changed: Notify::new(),
            health,
            instance,
            peers: OnceLock::new(),
            pool,
            readiness,
            repository,
            state: RankedLock::new(LockRank::Table, state),
        }
    }
}

impl<S: RowStore + 'static> TableDriver<S> {
    /// The version and the digest of the table, as the membership announces them.
    pub fn mark(&self) -> TableRevision {
        let head = self.head();
        TableRevision {
            digest: head.digest,
            version: head.version,
        }
    }

    /// The version and the digest of the table that the keeper holds.
    pub fn head(&self) -> TableHead {
        self.state.lock().keeper.head()
    }

    /// Passes one event to the keeper and performs the actions that it returns.
    pub fn on_event(self: &Arc<Self>, event: KeeperEvent) {
        let mut actions = Vec::new();
        self.state
            .lock()
            .keeper
            .on_event(Instant::now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    /// Sets the membership through which tables are pulled from peers.
    pub fn set_membership(&self, driver: Arc<PeerDriver>) {
        // A process has one membership, so that it is set once.
        let _ = self.peers.set(driver);
    }

    /// Gives the polling plan the live instances of the own availability zone.
    pub fn on_members(self: &Arc<Self>, members: Vec<InstanceId>) {
        self.step_plan(PollEvent::Members(members));
    }

    /// Announces each table that comes into force to the membership. Never returns.
    pub async fn run_heads(self: Arc<Self>, driver: Arc<PeerDriver>) {
        loop {
            self.head_changed.notified().await;
            driver.set_table(self.mark());
        }
    }

    /// Passes what the membership learns of peers' tables to the keeper. Returns when the membership is closed.
    pub async fn run_updates(self: Arc<Self>, driver: Arc<PeerDriver>) {
        let mut updates = driver.updates();
        loop {
            match updates.recv().await {
                Ok(update) => self.on_update(update),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            }
        }
    }

    /// Ticks the keeper and the polling plan, and samples the reachability of the platform. Never returns.
    pub async fn run_ticks(self: Arc<Self>) {
        let mut ticks = time::interval(TICK_INTERVAL);
        loop {
            ticks.tick().await;
            self.note_peer_reports();
            self.on_event(KeeperEvent::Tick);
            self.health.record(SystemTime::now(), self.sample());
            self.step_plan(PollEvent::Tick);
        }
    }

    fn perform(self: &Arc<Self>, action: KeeperAction) {
        match action {
            KeeperAction::Alarm { code, head, source } => {
                let number = code.number();
                tracing::error!(code = number, version = head.version, %source, "{}", code.text());
            }
            KeeperAction::AlarmCleared { code, source } => {
                tracing::info!(code = code.number(), %source, "the alarm is over");
            }
            KeeperAction::InForce(table) => self.put_in_force(&table),
            KeeperAction::Pull { since, source } => {
                let driver = self.clone();
                self.pool
                    .spawn(async move { driver.pull(since, source).await });
            }
            KeeperAction::Restore(table) => {
                let driver = self.clone();
                self.pool.spawn(async move { driver.restore(table).await });
            }
        }
    }

    /// Tells the keeper when a peer last reported an answer of the platform.
    fn note_peer_reports(self: &Arc<Self>) {
        let heard = self
            .peers
            .get()
            .and_then(|peers| peers.view().platform_contact);
        if let Some(at) = heard {
            self.on_event(KeeperEvent::PlatformContact { at });
        }
    }

    async fn poll(self: Arc<Self>) {
        let asked = Instant::now();
        let head = self.repository.head().await;
        let answered = head.is_ok();
        if let Ok(head) = head {
            let head = head.map(|row| row.head()).unwrap_or_default();
            self.state.lock().platform_head = Some(head);
            self.on_event(KeeperEvent::PlatformContact { at: asked });
            if let Some(peers) = self.peers.get() {
                peers.set_platform_contact(asked);
            }
            self.on_event(KeeperEvent::Head {
                asked,
                head,
                source: TableSource::Platform,
            });
        }
        self.step_plan(PollEvent::Done { answered });
    }

    async fn pull(self: Arc<Self>, since: TableVersion, source: TableSource) {
        let patch = match &source {
            TableSource::Peer(from) => self.pull_peer(from, since).await,
            TableSource::Platform => self.pull_platform(since).await,
        };
        self.on_event(match patch {
            Some(patch) => KeeperEvent::Pulled { patch, source },
            None => KeeperEvent::PullFailed { source },
        });
    }

    async fn pull_peer(&self, from: &InstanceId, since: TableVersion) -> Option<TablePatch> {
        let content = self.peers.get()?.pull_table(from, since).await?;
        postcard::from_bytes(&content).ok()
    }

    async fn pull_platform(&self, since: TableVersion) -> Option<TablePatch> {
        self.repository.patch_since(since).await.ok()
    }

    fn on_update(self: &Arc<Self>, update: MemberUpdate) {
        let (head, source) = match update {
            MemberUpdate::DigestDiffers {
                digest,
                instance,
                version,
            }
            | MemberUpdate::DigestConverged {
                digest,
                instance,
                version,
            } => (TableHead { digest, version }, TableSource::Peer(instance)),
            MemberUpdate::MemberDead { instance, .. } => {
                return self.on_event(KeeperEvent::PeerRemoved(instance));
            }
            _ => return,
        };
        self.on_event(KeeperEvent::Head {
            asked: Instant::now(),
            head,
            source,
        });
    }

    fn put_in_force(&self, table: &StampedTable) {
        let table = Arc::new(table.to_table());
        tracing::info!(
            version = table.version,
            rows = table.rows.len(),
            "a table is in force"
        );
        self.current_table.put(table);
        self.readiness.clear(TABLE_CONDITION);
        self.head_changed.notify_one();
    }

    async fn restore(self: Arc<Self>, table: Arc<StampedTable>) {
        let at = unix_time::since_epoch(SystemTime::now());
        let origin = EditOrigin {
            at,
            author: format!("instance {}", self.instance).into(),
            floor: table.version() + 1,
            id: format!("restore-{}-{}", self.instance, at.as_micros()).into(),
        };
        match self.repository.restore(&table, &origin).await {
            Ok(version) => {
                tracing::warn!(
                    version,
                    "accepted edits that the platform had lost are written back"
                );
                self.on_event(KeeperEvent::Restored { version });
            }
            Err(error) => tracing::warn!(%error, "accepted edits could not be written back"),
        }
    }

    fn sample(&self) -> PlatformSample {
        let now = Instant::now();
        let state = self.state.lock();
        PlatformSample {
            is_cut_off: state.keeper.cut_off_since(now).is_some(),
            is_poller: state.plan.is_poller(),
            silence: state.keeper.platform_silence(now),
        }
    }

    fn step_plan(self: &Arc<Self>, event: PollEvent) {
        let mut actions = Vec::new();
        self.state
            .lock()
            .plan
            .on_event(Instant::now(), event, &mut actions);
        for action in actions {
            if action != PollAction::Poll {
                continue;
            }
            let driver = self.clone();
            self.pool.spawn(async move { driver.poll().await });
        }
    }
}

/// Exchanges the table with peers through the membership.
pub struct TableExchange<S> {
    /// The driver that holds the table.
    pub driver: Arc<TableDriver<S>>,
}

impl<S: RowStore + 'static> peer::TableSource for TableExchange<S> {
    fn changes(&self, since: TableVersion) -> Option<Bytes> {
        let patch = self.driver.state.lock().keeper.patch_since(since);
        if patch.version <= since {
            return None;
        }
        postcard::to_stdvec(&patch).ok().map(Bytes::from)
    }

    fn revision(&self) -> TableRevision {
        self.driver.mark()
    }

    fn pull_since(&self) -> TableVersion {
        self.driver.state.lock().keeper.pull_since()
    }

    async fn apply(&self, from: &InstanceId, content: Bytes) -> Result<TableRevision, PeerError> {
        let patch = postcard::from_bytes::<TablePatch>(&content);
        let Ok(patch) = patch else {
            return GarbledSnafu {
                detail: "the table can't be read",
            }
            .fail();
        };
        let source = TableSource::Peer(from.clone());
        self.driver.on_event(KeeperEvent::Pulled { patch, source });
        Ok(self.driver.mark())
    }
}

/// Reports the table in force of an entry instance to the admin server.
pub struct EntryStatus {
    /// The table in force.
    pub current_table: Arc<CurrentTable>,
    /// Whether the platform answers; `None` leaves that out of the status.
    pub health: Option<Arc<PlatformHealth>>,
    /// The name of this instance.
    pub instance: InstanceId,
    /// The availability zone of this instance.
    pub zone: ZoneId,
}

impl StatusSource for EntryStatus {
    fn table_status(&self) -> TableStatus {
        let entry = self.current_table.entry();
        let digest = entry.as_ref().map_or(0, |entry| entry.table.digest());
        let cut_off = self
            .health
            .as_ref()
            .and_then(|health| health.cut_off_since());
        TableStatus {
            cut_off_since: cut_off.map(unix_time::millis),
            digest,
            instance: self.instance.clone(),
            since: entry
                .as_ref()
                .map_or(0, |entry| unix_time::millis(entry.since_wall)),
            version: entry.as_ref().map_or(0, |entry| entry.table.version),
            zone: self.zone.clone(),
        }
    }
}
