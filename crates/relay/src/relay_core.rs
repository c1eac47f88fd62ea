//! The state that all requests of a process share.

pub mod calling;
mod choosing;
mod statements;

use {
    crate::{
        BufferBudget, CloseClock, ConnectionPool, ConnectionTimeouts, CrashWatch, FleetView,
        ForwardQueue, PlaceClient, PlaceCounts, QuotaBuckets, ReachWatch, ReaderRole, RelayCounts,
        RelaySettings, RouteFreshness, RouteTable, SchedulerHost, SharedUpstreams, SoftwareNotes,
        StartGate, UpstreamDialect,
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    http::StatusCode,
    kernel::{
        LockRank, RankedLock, ResultCode, ServiceId, ShutdownSignal, UpstreamId, WorkId,
        steady_clock,
    },
    policy::{
        AnswerTime, CacheIndex, CallVerdict, FleetMember, FleetMembers, RetryWindow, SlotHoldTime,
        StagePressure, UpstreamTable,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// What a connection to an upstream reads ahead, bytes; also the limit of the head of an answer.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// The shared state of the request path.
#[derive(Debug)]
pub struct RelayCore<D> {
    /// The upstreams with their load and health.
    pub upstreams: Arc<SharedUpstreams>,
    /// The routes in force; `None` until they have been read for the first time.
    pub routes: ArcSwapOption<RouteTable>,
    /// The memory for bodies that wait for slow readers.
    pub buffers: BufferBudget,
    /// Raised when the process shuts down and no new request can be finished.
    pub closing: ShutdownSignal,
    /// By when requests in progress are answered once the process shuts down.
    pub close_clock: CloseClock,
    /// The metrics.
    pub counts: RelayCounts,
    /// Tracks upstreams that crash while running requests.
    pub crashes: Arc<CrashWatch>,
    /// The wire protocol of callers and upstreams.
    pub dialect: D,
    /// Forwards requests to other instances.
    pub forwarding: ForwardQueue,
    /// When the routes and customers were last confirmed to be the newest.
    pub freshness: RouteFreshness,
    /// The prompt parts that engines recently listed as cached.
    pub parts: RankedLock<CacheIndex>,
    answer_times: RankedLock<HashMap<WorkId, AnswerTime>>,
    hold_times: RankedLock<HashMap<ServiceId, SlotHoldTime>>,
    pressures: RankedLock<HashMap<ServiceId, StagePressure>>,
    /// Asks the schedulers for decode places.
    pub places: PlaceClient,
    /// The connections to upstreams.
    pub pool: Arc<ConnectionPool>,
    /// The quotas of customers.
    pub quotas: QuotaBuckets,
    /// Whether this instance reaches the upstreams of each service.
    pub reach: Arc<ReachWatch>,
    /// Whether this instance reads the store itself.
    pub reader: ReaderRole,
    /// The schedulers that this instance runs.
    pub schedulers: SchedulerHost,
    /// The settings, which can be reloaded.
    pub settings: ArcSwap<RelaySettings>,
    /// The software versions at which recent streams began.
    pub software: SoftwareNotes,
    /// Opens when the routes and the upstreams have been read.
    pub start: StartGate,
    started: Instant,
    retry_windows: RankedLock<HashMap<ServiceId, RetryWindow>>,
    /// The instances that share what all of them together may do.
    pub fleet: FleetView,
    /// This instance by itself, where it is the only one.
    alone: Option<Arc<FleetMembers>>,
}

impl<D: UpstreamDialect> RelayCore<D> {
    /// The retry delay for a caller that found no free slot at a service.
    pub fn retry_after(&self, service: &ServiceId, request: &str) -> Duration {
        let hold_times = self.hold_times.lock();
        let hold_time = hold_times.get(service).copied().unwrap_or_default();
        hold_time.retry_after(request)
    }

    /// The state of a process that starts now.
    pub fn new(dialect: D, settings: RelaySettings) -> Self {
        let times = ConnectionTimeouts {
            connect: settings.connect_timeout,
            peer_timeout: settings.peer_timeout,
        };
        let upstreams = Arc::new(RankedLock::new(
            LockRank::Upstreams,
            UpstreamTable::new(settings.instance.clone()),
        ));
        let alone = settings.is_alone.then(|| {
            Arc::new(FleetMembers::new(vec![FleetMember {
                capacity: 1,
                instance: settings.instance.clone(),
                zone: settings.zone.clone(),
            }]))
        });
        let counts = RelayCounts::new();
        let pool = Arc::new(ConnectionPool::new(times).with_read_buffer(READ_BUFFER_BYTES));
        let reach = ReachWatch::new(upstreams.clone(), counts.clone(), pool.clone());
        Self {
            reach: Arc::new(reach),
            crashes: Arc::new(CrashWatch::new(
                upstreams.clone(),
                counts.clone(),
                pool.clone(),
                settings.quarantine,
            )),
            schedulers: SchedulerHost::new(upstreams.clone()),
            software: SoftwareNotes::new(upstreams.clone()),
            upstreams,
            routes: ArcSwapOption::empty(),
            buffers: BufferBudget::new(settings.buffer_bytes),
            closing: ShutdownSignal::new(),
            close_clock: CloseClock::default(),
            counts,
            dialect,
            forwarding: ForwardQueue::default(),
            freshness: RouteFreshness::default(),
            parts: RankedLock::new(LockRank::Services, CacheIndex::default()),
            answer_times: RankedLock::new(LockRank::Services, HashMap::new()),
            hold_times: RankedLock::new(LockRank::Services, HashMap::new()),
            pressures: RankedLock::new(LockRank::Services, HashMap::new()),
            places: PlaceClient::new(PlaceCounts::new()),
            pool,
            quotas: QuotaBuckets::new(settings.quotas, settings.is_alone),
            reader: ReaderRole::default(),
            settings: ArcSwap::from_pointee(settings),
            start: StartGate::new(),
            started: steady_clock::now(),
            retry_windows: RankedLock::new(LockRank::Services, HashMap::new()),
            fleet: FleetView::default(),
            alone,
        }
    }

    /// Opens the start gate once both the routes and the upstreams have been read.
    pub fn open_when_ready(&self) {
        if self.routes.load().is_some() && self.upstreams.lock().is_loaded {
            self.start.open();
        }
    }

    /// Records whether a request found a free slot at once or found all engines of the service full.
    pub fn note_search(&self, service: &ServiceId, is_full: bool) {
        let mut pressures = self.pressures.lock();
        let pressure = pressures.entry(service.clone()).or_default();
        pressure.note_slot_search(is_full, steady_clock::now());
    }

    /// Records a prefill of a service: it took `took`, where its tokens alone take `alone`.
    pub fn note_prefill(&self, service: &ServiceId, alone: Duration, took: Duration) {
        let mut pressures = self.pressures.lock();
        let pressure = pressures.entry(service.clone()).or_default();
        pressure.note_prefill(alone, took, steady_clock::now());
    }

    /// The load on the stages of a service, as measured by the requests of this instance.
    pub fn pressure(&self, service: &ServiceId) -> StagePressure {
        let pressures = self.pressures.lock();
        pressures.get(service).copied().unwrap_or_default()
    }

    /// The time within which most requests of this kind of work are answered; `None` while that is not known.
    pub fn answer_time(&self, work: &WorkId) -> Option<Duration> {
        let times = self.answer_times.lock();
        times.get(work).map(AnswerTime::duration)
    }

    /// Records how long a request took from its call to the end of the answer.
    pub fn note_answer_time(&self, work: &WorkId, took: Duration) {
        let mut times = self.answer_times.lock();
        match times.get_mut(work) {
            Some(time) => time.note(took),
            None => _ = times.insert(work.clone(), AnswerTime::new(took)),
        }
    }

    /// Forgets the kinds of work that the routes no longer have.
    pub fn forget_works(&self, table: &RouteTable) {
        let works: HashSet<&WorkId> = table.routes().map(|route| &route.work).collect();
        let mut times = self.answer_times.lock();
        times.retain(|work, _| works.contains(work));
    }

    /// Records how long a slot of a service was held.
    pub fn note_slot_time(&self, service: &ServiceId, held: Duration) {
        let mut hold_times = self.hold_times.lock();
        hold_times.entry(service.clone()).or_default().note(held);
    }

    /// Counts a request of a service for its retry budget.
    pub fn note_request(&self, service: &ServiceId) {
        let mut retry_windows = self.retry_windows.lock();
        let window = retry_windows
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(self.started));
        window.note_request(&self.settings.load().retries, steady_clock::now());
    }

    /// Whether an upstream fails clearly more often than the others of its service.
    pub fn is_outlier(&self, upstream: &UpstreamId) -> bool {
        self.upstreams
            .lock()
            .is_outlier(upstream, steady_clock::now())
    }

    /// Takes one retry of a service from the budget; `false` when it is exhausted.
    #[must_use]
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let mut retry_windows = self.retry_windows.lock();
        let window = retry_windows
            .entry(service.clone())
            .or_insert_with(|| RetryWindow::new(self.started));
        let taken = window.take(
            &self.settings.load().retries,
            self.instance_count(),
            steady_clock::now(),
        );
        drop(retry_windows);
        let count = match taken {
            true => &self.counts.retries,
            false => &self.counts.retries_refused,
        };
        count.inc();
        taken
    }
}

/// The result code of an upstream's answer that is passed on unchanged.
pub fn status_code(status: StatusCode) -> ResultCode {
    match status.is_server_error() {
        true => ResultCode::UpstreamFailed,
        false => ResultCode::Answered,
    }
}

/// The verdict on an upstream by the status of its own answer.
pub fn status_verdict(status: StatusCode) -> CallVerdict {
    match status.is_server_error() {
        true => CallVerdict::Failed,
        false => CallVerdict::Answered,
    }
}
