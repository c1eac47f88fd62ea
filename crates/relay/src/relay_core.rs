//! What all requests of one process share.

use {
    crate::{
        CallEnd, CallPurpose, CallerRequest, ConnectionError, ConnectionPool, ConnectionTimeouts,
        CrashWatch, ErrorResponse, OpenCall, QuotaBuckets, ReaderRole, RelayCounts, RelaySettings,
        RouteFreshness, RouteTable, SharedUpstreams, StartGate, UpstreamAnswer, UpstreamCall,
        UpstreamDialect, WorkRoute, ZoneSize,
    },
    arc_swap::{ArcSwap, ArcSwapOption},
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    kernel::{
        LockRank, RankedLock, ResultCode, ServiceId, ShutdownSignal, UpstreamId, steady_clock,
    },
    policy::{
        CacheIndex, CallVerdict, ChoiceQuery, RetryWindow, SlotHoldTime, StagePressure,
        UpstreamRecord, UpstreamTable,
    },
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// One call, before an upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan<'a> {
    /// What is asked.
    pub purpose: &'a CallPurpose,
    /// The request.
    pub request: &'a CallerRequest,
    /// The row of the request.
    pub route: &'a WorkRoute,
    /// How long to wait for the head of the answer, at most; none is the request's error deadline.
    pub head_timeout: Option<Duration>,
}

/// The shared state of the request path.
#[derive(Debug)]
pub struct RelayCore<D> {
    /// The upstreams.
    pub upstreams: Arc<SharedUpstreams>,
    /// The routes in force; none before the first were read.
    pub routes: ArcSwapOption<RouteTable>,
    /// Raised when no further request can be finished before the process ends.
    pub closing: ShutdownSignal,
    /// The counters.
    pub counts: RelayCounts,
    /// Which upstreams ended under requests.
    pub crashes: Arc<CrashWatch>,
    /// How callers and upstreams speak.
    pub dialect: D,
    /// As of when the routes and customers are known to be the newest.
    pub freshness: RouteFreshness,
    /// What engines listed a moment ago.
    pub parts: RankedLock<CacheIndex>,
    paces: RankedLock<HashMap<ServiceId, SlotHoldTime>>,
    pressures: RankedLock<HashMap<ServiceId, StagePressure>>,
    /// The connections to upstreams.
    pub pool: Arc<ConnectionPool>,
    /// The quotas of customers.
    pub quotas: QuotaBuckets,
    /// Whether this instance reads the store itself.
    pub reader: ReaderRole,
    /// The settings, which may change while the process runs.
    pub settings: ArcSwap<RelaySettings>,
    /// Open once the routes and the upstreams were read.
    pub start: StartGate,
    started: Instant,
    retry_windows: RankedLock<HashMap<ServiceId, RetryWindow>>,
    /// The instances of the error availability zone. Zones may differ in it: each has an equal part of what all share.
    pub zone_size: ZoneSize,
}

impl<D: UpstreamDialect> RelayCore<D> {
    /// Asks an upstream something that belongs to no request, and reads the whole answer; none when there is none of at
    /// most `largest` bytes.
    pub async fn ask(
        &self,
        upstream: &UpstreamRecord,
        request: Request<Full<Bytes>>,
        largest: usize,
    ) -> Option<(StatusCode, Bytes)> {
        let sending = self.pool.send(&upstream.id, upstream.address, request);
        let (response, connection) = match sending.await {
            Ok(answer) => answer,
            Err(error) => {
                tracing::debug!(upstream = %upstream.id, %error, "no answer");
                return None;
            }
        };
        let status = response.status();
        let idle_timeout = self.dialect.idle_timeout(response.headers());
        let reading = Limited::new(response.into_body(), largest).collect();
        match reading.await {
            Ok(collected) => {
                self.pool.keep(&upstream.id, connection, idle_timeout);
                Some((status, collected.to_bytes()))
            }
            Err(error) => {
                tracing::debug!(upstream = %upstream.id, %error, "an answer is cut or too long");
                None
            }
        }
    }

    /// Calls an upstream and reads the head of its answer. What the request took out of its customer's quota counts as used
    /// unless it is known not to have run.
    pub async fn call(&self, plan: CallPlan<'_>, upstream: Arc<UpstreamRecord>) -> CallEnd {
        let charge = plan.request.charge.as_ref();
        let charge = charge.filter(|_| matches!(plan.purpose, CallPurpose::Run { .. }));
        if let Some(charge) = charge {
            charge.begin_call();
        }
        let end = self.send(plan, upstream).await;
        if let Some(charge) = charge {
            charge.end_call(matches!(end, CallEnd::Answer(_) | CallEnd::Lost(_)));
        }
        end
    }

    async fn send(&self, plan: CallPlan<'_>, upstream: Arc<UpstreamRecord>) -> CallEnd {
        // At the last moment before each call: news may have come while the request waited.
        if let Some(held) = self.crashes.quarantine_left(plan.request) {
            plan.request.trace.note(format_args!("in quarantine"));
            return CallEnd::Denied(ErrorResponse::with_retry_after(
                ResultCode::RequestQuarantined,
                held,
            ));
        }
        if let Some(access) = &plan.request.access
            && let Some(refusal) = self.recheck_access(access, plan.route)
        {
            plan.request.trace.note(format_args!("{}", refusal.reason));
            return CallEnd::Denied(refusal.error);
        }
        let left = plan.request.left();
        if left.is_zero() {
            return CallEnd::Unsent;
        }
        let tokens = match plan.purpose {
            CallPurpose::Prefill => plan.request.prompt_tokens(),
            CallPurpose::Run { .. } => plan.request.kv_tokens(),
        };
        let call = OpenCall::new(&self.upstreams, &self.counts, upstream.clone(), tokens);
        let trace = &plan.request.trace;
        let verb = plan.purpose.verb();
        let id = upstream.id.clone();
        let request = self.dialect.call(&UpstreamCall {
            left,
            purpose: plan.purpose,
            rank: plan.request.rank,
            request: plan.request,
            upstream: &upstream,
        });
        if matches!(plan.purpose, CallPurpose::Run { .. }) {
            trace.note_sent();
        }
        let wait = plan.head_timeout.map_or(left, |timeout| timeout.min(left));
        let sending = self.pool.send(&upstream.id, upstream.address, request);
        let (response, connection) = match time::timeout(wait, sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ConnectionError::Unsent { detail })) => {
                call.close(CallVerdict::Unreachable);
                trace.note(format_args!("{verb} {id} not sent: {detail}"));
                return CallEnd::Unsent;
            }
            Ok(Err(ConnectionError::Lost { detail })) => {
                trace.note(format_args!("{verb} {id} lost: {detail}"));
                self.crashes.note_loss(plan.request, &call, false);
                call.close(CallVerdict::Lost);
                return CallEnd::Lost(ResultCode::UpstreamLost);
            }
            Err(_) => {
                trace.note(format_args!(
                    "{verb} {id} silent for {} ms",
                    wait.as_millis()
                ));
                call.close(CallVerdict::Lost);
                return CallEnd::Lost(ResultCode::UpstreamSilent);
            }
        };
        let (head, body) = response.into_parts();
        let facts = self.dialect.reply_facts(&head, &plan.request.head.id);
        if facts.is_not_run {
            trace.note(format_args!(
                "{verb} {id} not run: {}",
                head.status.as_u16()
            ));
            if facts.is_same_request && !facts.closes_connection {
                self.pool.keep(&upstream.id, connection, facts.idle_timeout);
            }
            call.close(match facts.is_misdirected {
                true => CallVerdict::Misdirected,
                false => CallVerdict::Full,
            });
            return CallEnd::NotRun;
        }
        let foreign = !facts.is_same_request || facts.is_encoded;
        let unsigned = head.status.is_success() && !facts.is_signed;
        if foreign || unsigned && !matches!(plan.purpose, CallPurpose::Prefill) {
            trace.note(format_args!(
                "{verb} {id} garbled: {}",
                head.status.as_u16()
            ));
            call.close(CallVerdict::Lost);
            return CallEnd::Lost(ResultCode::UpstreamGarbled);
        }
        trace.note(format_args!("{verb} {id} answers {}", head.status.as_u16()));
        CallEnd::Answer(Box::new(UpstreamAnswer {
            body,
            call,
            facts,
            head,
            connection,
        }))
    }

    /// The best upstream for a call.
    pub fn choose(&self, query: &ChoiceQuery<'_>) -> Option<Arc<UpstreamRecord>> {
        self.upstreams.lock().choose(query, steady_clock::now())
    }

    /// How many instances there are, as far as this one knows.
    fn instance_count(&self) -> Option<usize> {
        let zones = self.settings.load().zones;
        self.zone_size.get().map(|members| members * zones)
    }

    /// When a caller that found no place at a service may come back.
    pub fn retry_after(&self, service: &ServiceId, request: &str) -> Duration {
        let paces = self.paces.lock();
        let pace = paces.get(service).copied().unwrap_or_default();
        pace.retry_after(request)
    }

    /// The shared state at the start of a process.
    pub fn new(dialect: D, settings: RelaySettings) -> Self {
        let times = ConnectionTimeouts {
            connect: settings.connect_timeout,
            peer_timeout: settings.peer_timeout,
        };
        let upstreams = Arc::new(RankedLock::new(
            LockRank::Upstreams,
            UpstreamTable::default(),
        ));
        let counts = RelayCounts::new();
        let pool = Arc::new(ConnectionPool::new(times));
        Self {
            crashes: Arc::new(CrashWatch::new(
                upstreams.clone(),
                counts.clone(),
                pool.clone(),
                settings.quarantine,
            )),
            upstreams,
            routes: ArcSwapOption::empty(),
            closing: ShutdownSignal::new(),
            counts,
            dialect,
            freshness: RouteFreshness::default(),
            parts: RankedLock::new(LockRank::Services, CacheIndex::default()),
            paces: RankedLock::new(LockRank::Services, HashMap::new()),
            pressures: RankedLock::new(LockRank::Services, HashMap::new()),
            pool,
            quotas: QuotaBuckets::new(settings.quotas, settings.is_alone),
            reader: ReaderRole::default(),
            settings: ArcSwap::from_pointee(settings),
            start: StartGate::new(),
            started: steady_clock::now(),
            retry_windows: RankedLock::new(LockRank::Services, HashMap::new()),
            zone_size: ZoneSize::default(),
        }
    }

    /// Routes or upstreams were read.
    pub fn open_when_ready(&self) {
        if self.routes.load().is_some() && self.upstreams.lock().is_loaded {
            self.start.open();
        }
    }

    /// A request looked for a place of a service, and found one at once or found the engines full.
    pub fn note_search(&self, service: &ServiceId, is_full: bool) {
        let mut pressures = self.pressures.lock();
        let pressure = pressures.entry(service.clone()).or_default();
        pressure.note_slot_search(is_full, steady_clock::now());
    }

    /// A prompt was read for a service, in `took` where its tokens take `alone`.
    pub fn note_prefill(&self, service: &ServiceId, alone: Duration, took: Duration) {
        let mut pressures = self.pressures.lock();
        let pressure = pressures.entry(service.clone()).or_default();
        pressure.note_prefill(alone, took, steady_clock::now());
    }

    /// How hard the engines of a service are pressed, by what requests here met.
    pub fn pressure(&self, service: &ServiceId) -> StagePressure {
        let pressures = self.pressures.lock();
        pressures.get(service).copied().unwrap_or_default()
    }

    /// A place of a service was held for so long.
    pub fn note_slot_time(&self, service: &ServiceId, held: Duration) {
        let mut paces = self.paces.lock();
        paces.entry(service.clone()).or_default().note(held);
    }

    /// A request for a service came in.
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

    /// Takes one repeated call to a service out of the budget; `false` when it is spent.
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

/// The result code of an answer that is given back unchanged.
pub fn status_code(status: StatusCode) -> ResultCode {
    match status.is_server_error() {
        true => ResultCode::UpstreamFailed,
        false => ResultCode::Answered,
    }
}

/// What an answer of an upstream's error tells about it.
pub fn status_verdict(status: StatusCode) -> CallVerdict {
    match status.is_server_error() {
        true => CallVerdict::Failed,
        false => CallVerdict::Answered,
    }
}
