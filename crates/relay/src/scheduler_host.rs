//! The schedulers of decode places that this instance runs for its availability zone.

use {
    crate::{LoadGauges, PlaceScope, SharedUpstreams},
    kernel::{InstanceId, LockRank, RankedLock, UpstreamId, ZoneId, steady_clock},
    sched::{
        EngineInfo, EngineLoad, PlaceDecision, PlaceKey, PlaceNote, PlaceQueue, PlaceReply,
        PlaceRequest, PlaceScheduler, SchedulerRows, ZoneSpare,
    },
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot},
        time,
    },
};

/// How often requests that wait are decided on.
const TICK: Duration = Duration::from_millis(20);
/// How often instances and schedulers that are gone are looked for.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// How long engines are taken to be as they were.
const ENGINE_PERIOD: Duration = Duration::from_millis(20);
/// An instance that holds places announces them every second; one that is silent for longer is gone.
const INSTANCE_LIFE: Duration = Duration::from_secs(3);
/// How long a scheduler without requests and reports is kept.
const SCHEDULER_LIFE: Duration = Duration::from_secs(30);
/// How long a decision is kept for a request whose next call has not come yet.
const DECISION_LIFE: Duration = Duration::from_secs(1);
/// The decisions that a scheduler keeps for requests whose next call has not come yet.
const MAX_DECISIONS: usize = 1_024;
/// A scheduler without requests for this long does not tell other zones what it can take over.
const SPARE_LIFE: Duration = Duration::from_secs(10);

/// What a request that waits takes: its row, the call that is kept for it and the task of that, bytes.
const WAITING_BYTES: usize = 4_096;
/// The requests that wait in all cells together, unless the instance's memory is known.
const DEFAULT_WAITING: usize = 1_024;
/// However little memory an instance has, this many requests may wait.
const MIN_WAITING: usize = 64;

/// Distinguishes the schedulers that an instance ran for a cell, one after another, and those of its earlier processes.
pub type SchedulerLife = u64;

/// Identifies a request that waits.
type WaitingKey = (InstanceId, PlaceKey);

/// The schedulers of this instance. Clones share them.
#[derive(Clone, Debug)]
pub struct SchedulerHost {
    /// The metrics of the engines scheduled here.
    pub gauges: LoadGauges,
    /// Notified when a request begins to wait.
    waiting: Arc<Notify>,
    next_life: Arc<AtomicU64>,
    max_waiting: Arc<AtomicUsize>,
    schedulers: Arc<RankedLock<BTreeMap<PlaceScope, HostedScheduler>>>,
    upstreams: Arc<SharedUpstreams>,
}

/// The scheduler of one cell.
#[derive(Debug)]
struct HostedScheduler {
    decisions: BTreeMap<WaitingKey, (PlaceReply, Instant)>,
    engines: Vec<EngineInfo>,
    engines_at: Option<Instant>,
    heard: BTreeMap<InstanceId, Instant>,
    life: SchedulerLife,
    requested_at: Instant,
    scheduler: PlaceScheduler,
    spare: BTreeMap<ZoneId, (ZoneSpare, Instant)>,
    used_at: Instant,
    waiting: BTreeMap<WaitingKey, oneshot::Sender<PlaceReply>>,
}

/// What became of a call for a place.
#[derive(Debug)]
pub enum AskOutcome {
    /// A decision, or that the request waits.
    Decided(SchedulerLife, PlaceReply),
    /// The request waits, and its call is kept.
    Kept(KeptCall),
}

/// A call that is kept while its request waits.
#[derive(Debug)]
pub struct KeptCall {
    decided: oneshot::Receiver<PlaceReply>,
    host: SchedulerHost,
    key: WaitingKey,
    life: SchedulerLife,
    scope: PlaceScope,
    wait: Duration,
}

impl KeptCall {
    /// The decision, or that the request still waits when the time is over.
    pub async fn decision(self) -> (SchedulerLife, PlaceReply) {
        if let Ok(Ok(reply)) = time::timeout(self.wait, self.decided).await {
            return (self.life, reply);
        }
        let mut schedulers = self.host.schedulers.lock();
        let hosted = schedulers.get_mut(&self.scope);
        let late = hosted.and_then(|hosted| {
            hosted.waiting.remove(&self.key);
            hosted.decisions.remove(&self.key)
        });
        let reply = late.map_or(PlaceReply::Queued, |(reply, _)| reply);
        (self.life, reply)
    }
}

/// What is remembered for one cell.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostedRows {
    /// Decisions on requests whose next call has not come yet.
    pub decisions: usize,
    /// Instances that asked or reported lately.
    pub instances: usize,
    /// Calls that are kept while their requests wait.
    pub kept_calls: usize,
    /// The tables of the scheduler.
    pub scheduler: SchedulerRows,
}

/// The loads of the engines of one cell.
pub type CellLoads = BTreeMap<UpstreamId, EngineLoad>;

impl SchedulerHost {
    /// A host without schedulers.
    pub fn new(upstreams: Arc<SharedUpstreams>) -> Self {
        Self {
            gauges: LoadGauges::new(),
            waiting: Arc::default(),
            next_life: Arc::new(AtomicU64::new(1)),
            max_waiting: Arc::new(AtomicUsize::new(DEFAULT_WAITING)),
            schedulers: Arc::new(RankedLock::new(LockRank::Schedulers, BTreeMap::new())),
            upstreams,
        }
    }

    /// Sets the first life of schedulers: later than all of the process before it.
    pub fn begin_at(&self, life: SchedulerLife) {
        self.next_life.fetch_max(life, Ordering::Relaxed);
    }

    /// Sets the memory that requests may take while they wait, bytes. Those beyond it are refused at once.
    pub fn bound(&self, bytes: usize) {
        let count = (bytes / WAITING_BYTES).max(MIN_WAITING);
        self.max_waiting.store(count, Ordering::Relaxed);
    }

    /// Decides on a request of an instance. While it is queued, waits for at most `wait` for the decision.
    pub async fn submit(
        &self,
        from: &InstanceId,
        scope: &PlaceScope,
        request: PlaceRequest,
        wait: Duration,
    ) -> (SchedulerLife, PlaceReply) {
        match self.ask(from, scope, request, wait) {
            AskOutcome::Decided(life, reply) => (life, reply),
            AskOutcome::Kept(call) => call.decision().await,
        }
    }

    /// Decides on a request of an instance, or keeps its call for at most `wait` while it is queued.
    pub fn ask(
        &self,
        from: &InstanceId,
        scope: &PlaceScope,
        request: PlaceRequest,
        wait: Duration,
    ) -> AskOutcome {
        let key = (from.clone(), request.key.clone());
        let now = steady_clock::now();
        let mut schedulers = self.schedulers.lock();
        let has_room = count_waiting(&schedulers) < self.max_waiting.load(Ordering::Relaxed);
        let hosted = self.hosted(&mut schedulers, scope, now);
        hosted.requested_at = now;
        hosted.heard.insert(from.clone(), now);
        if let Some((reply, _)) = hosted.decisions.remove(&key) {
            return AskOutcome::Decided(hosted.life, reply);
        }
        let scheduler = &mut hosted.scheduler;
        let reply = scheduler.submit_bounded(from, request, has_room, now);
        if reply != PlaceReply::Queued || wait.is_zero() {
            return AskOutcome::Decided(hosted.life, reply);
        }
        let (sender, decided) = oneshot::channel();
        hosted.waiting.insert(key.clone(), sender);
        let call = KeptCall {
            decided,
            host: self.clone(),
            key,
            life: hosted.life,
            scope: scope.clone(),
            wait,
        };
        drop(schedulers);
        self.waiting.notify_one();
        AskOutcome::Kept(call)
    }

    /// What this instance remembers for the cells that it schedules.
    pub fn rows(&self) -> BTreeMap<PlaceScope, HostedRows> {
        let schedulers = self.schedulers.lock();
        let rows = schedulers.iter().map(|(scope, hosted)| {
            let rows = HostedRows {
                decisions: hosted.decisions.len(),
                instances: hosted.heard.len(),
                kept_calls: hosted.waiting.len(),
                scheduler: hosted.scheduler.rows(),
            };
            (scope.clone(), rows)
        });
        rows.collect()
    }

    /// Records what an instance reports, and decides on what waits.
    pub fn note(
        &self,
        from: &InstanceId,
        scope: &PlaceScope,
        notes: Vec<PlaceNote>,
    ) -> SchedulerLife {
        let now = steady_clock::now();
        let mut schedulers = self.schedulers.lock();
        let hosted = self.hosted(&mut schedulers, scope, now);
        hosted.heard.insert(from.clone(), now);
        for note in notes {
            hosted.scheduler.note(from, note, now);
        }
        hosted.tick(now);
        hosted.life
    }

    /// Decides on waiting requests until it is dropped, and forgets instances and schedulers that are gone.
    pub async fn run(self) {
        let mut gauges_at = steady_clock::now();
        loop {
            let period = match self.has_waiting() {
                true => TICK,
                false => SWEEP_PERIOD,
            };
            tokio::select! {
                () = time::sleep(period) => {}
                () = self.waiting.notified(), if period != TICK => {}
            }
            let now = steady_clock::now();
            self.tick(now);
            if now >= gauges_at {
                gauges_at = now + SWEEP_PERIOD;
                self.gauges.set_rows(&self.rows());
                self.gauges.set(&self.loads());
            }
        }
    }

    /// Decides on waiting requests, and forgets instances and schedulers that are gone by `now`.
    pub fn tick(&self, now: Instant) {
        let mut schedulers = self.schedulers.lock();
        schedulers.retain(|_, hosted| now < hosted.used_at + SCHEDULER_LIFE);
        for (scope, hosted) in schedulers.iter_mut() {
            hosted.set_engines(scope, &self.upstreams, now);
            hosted.sweep(now);
            hosted.tick(now);
        }
    }

    /// Records what another zone can take over of a cell, if this instance schedules that cell.
    pub fn note_spare(&self, scope: &PlaceScope, spare: ZoneSpare) {
        let now = steady_clock::now();
        let mut schedulers = self.schedulers.lock();
        let Some(hosted) = schedulers.get_mut(scope) else {
            return;
        };
        hosted.spare.insert(spare.zone.clone(), (spare, now));
        let spares = hosted.spare.values().map(|(spare, at)| ZoneSpare {
            age: spare.age + now.saturating_duration_since(*at),
            ..spare.clone()
        });
        let spares = spares.collect();
        hosted.scheduler.set_spare_zones(spares, now);
    }

    /// What the cells that had requests lately can take over from other zones, tokens.
    pub fn spares(&self) -> Vec<(PlaceScope, u64)> {
        let now = steady_clock::now();
        let schedulers = self.schedulers.lock();
        let busy = schedulers
            .iter()
            .filter(|(_, hosted)| now < hosted.requested_at + SPARE_LIFE);
        busy.map(|(scope, hosted)| (scope.clone(), hosted.scheduler.spare(now)))
            .collect()
    }

    /// The engines whose memory no scheduler here knows.
    pub fn unknown_capacities(&self) -> Vec<UpstreamId> {
        let schedulers = self.schedulers.lock();
        let mut unknown: Vec<UpstreamId> = schedulers
            .values()
            .flat_map(|hosted| hosted.scheduler.unknown_capacities())
            .collect();
        unknown.sort();
        unknown.dedup();
        unknown
    }

    /// Sets the memory of an engine, tokens.
    pub fn set_capacity(&self, engine: &UpstreamId, tokens: u64) {
        let now = steady_clock::now();
        for hosted in self.schedulers.lock().values_mut() {
            hosted.scheduler.set_capacity(engine, tokens);
            hosted.tick(now);
        }
    }

    /// The loads of the engines of each cell that this instance schedules.
    pub fn loads(&self) -> BTreeMap<PlaceScope, CellLoads> {
        let now = steady_clock::now();
        let schedulers = self.schedulers.lock();
        let loads = schedulers
            .iter()
            .map(|(scope, hosted)| (scope.clone(), hosted.scheduler.loads(now)));
        loads.collect()
    }

    fn has_waiting(&self) -> bool {
        let schedulers = self.schedulers.lock();
        schedulers
            .values()
            .any(|hosted| hosted.scheduler.has_waiting())
    }

    /// The scheduler of a cell, a new one if there is none, with the present engines.
    fn hosted<'a>(
        &self,
        schedulers: &'a mut BTreeMap<PlaceScope, HostedScheduler>,
        scope: &PlaceScope,
        now: Instant,
    ) -> &'a mut HostedScheduler {
        let hosted = schedulers.entry(scope.clone()).or_insert_with(|| {
            let life = self.next_life.fetch_add(1, Ordering::Relaxed);
            tracing::info!(service = %scope.service, cell = scope.cell, life, "this instance schedules decode places");
            HostedScheduler::new(life, now)
        });
        hosted.used_at = now;
        hosted.set_engines(scope, &self.upstreams, now);
        hosted
    }
}

fn count_waiting(schedulers: &BTreeMap<PlaceScope, HostedScheduler>) -> usize {
    let queues = schedulers.values().map(|hosted| hosted.scheduler.queue());
    queues.map(PlaceQueue::len).sum()
}

impl HostedScheduler {
    fn new(life: SchedulerLife, now: Instant) -> Self {
        Self {
            decisions: BTreeMap::new(),
            engines: Vec::new(),
            engines_at: None,
            heard: BTreeMap::new(),
            life,
            requested_at: now,
            scheduler: PlaceScheduler::new(),
            spare: BTreeMap::new(),
            used_at: now,
            waiting: BTreeMap::new(),
        }
    }

    fn set_engines(&mut self, scope: &PlaceScope, upstreams: &SharedUpstreams, now: Instant) {
        if self.engines_at.is_some_and(|at| now < at + ENGINE_PERIOD) {
            return;
        }
        self.engines_at = Some(now);
        let engines = scope.engines(&upstreams.lock(), now);
        if engines != self.engines {
            self.scheduler.set_engines(&engines, now);
            self.engines = engines;
        }
    }

    fn sweep(&mut self, now: Instant) {
        let scheduler = &mut self.scheduler;
        self.heard.retain(|instance, heard| {
            let is_alive = now < *heard + INSTANCE_LIFE;
            if !is_alive {
                tracing::debug!(%instance, "an instance with places is silent");
                scheduler.drop_instance(instance, now);
            }
            is_alive
        });
        self.decisions
            .retain(|_, (_, decided)| now < *decided + DECISION_LIFE);
    }

    fn tick(&mut self, now: Instant) {
        if !self.scheduler.has_waiting() {
            return;
        }
        for decision in self.scheduler.tick(now) {
            let PlaceDecision {
                instance,
                key,
                reply,
            } = decision;
            let key = (instance, key);
            let unsent = match self.waiting.remove(&key) {
                Some(sender) => sender.send(reply).err(),
                None => Some(reply),
            };
            // Without its row a request that asks again is decided anew; one that has a place gets the same.
            if let Some(reply) = unsent
                && self.decisions.len() < MAX_DECISIONS
            {
                self.decisions.insert(key, (reply, now));
            }
        }
    }
}
