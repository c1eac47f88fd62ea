//! Calls to plain services: the choice of a replica, retries, and the result when no answer arrives.

use {
    crate::{
        flow_failure::FlowFailure, plain_tries::PlainTries, run_deadline::RunDeadline,
        upstream_registry::UpstreamRegistry,
    },
    bytes::Bytes,
    engine::{CallCause, CallError, HttpPool, PooledBody, SendFailure},
    http::{HeaderName, Request, Response, StatusCode},
    hyper::body::Body,
    kernel::{LockRank, RankedLock, ResultCode, ServiceId, UpstreamId, ZoneId},
    plat::InstanceKind,
    route::{ReplicaSelector, RetryBudget},
    std::{
        collections::{BTreeMap, BTreeSet},
        error::Error,
        sync::Arc,
        time::{Duration, Instant},
    },
    table::WorkRow,
    tokio::time,
};

/// The header by which a plain service reports that it refused a request without running it.
pub const RAN_HEADER: HeaderName = HeaderName::from_static("x-ran");
/// The value of [`RAN_HEADER`] for a request that did not run.
pub const RAN_NO: &str = "no";

const REPLICA_BACKOFF: Duration = Duration::from_millis(500);
const RETRY_RATIO: f64 = 0.1;
const MAX_SAVED_RETRIES: u32 = 20;
const FAILURE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The replicas of one service, as seen by this instance.
struct ServiceState {
    choice: ReplicaSelector,
    known: BTreeSet<UpstreamId>,
}

/// Calls plain services. It counts only the calls of this instance.
pub struct PlainCaller<B> {
    registry: Arc<UpstreamRegistry>,
    budget: RankedLock<RetryBudget>,
    first_byte: Duration,
    pool: HttpPool<B>,
    seed: u64,
    services: RankedLock<BTreeMap<ServiceId, ServiceState>>,
    zone: ZoneId,
}

/// The outcome of one try.
enum TryOutcome<B> {
    Answer(Response<PooledBody<B>>),
    /// Contains the request if it was never written.
    Failed(Option<Request<B>>, FlowFailure),
}

#[bon::bon]
impl<B> PlainCaller<B>
where
    B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Creates a caller for the services in `zone`. Replicas of other zones are used when this zone has none.
    #[builder]
    pub fn new(
        registry: Arc<UpstreamRegistry>,
        connect: Duration,
        first_byte: Duration,
        seed: u64,
        zone: ZoneId,
    ) -> Self {
        let budget = RetryBudget::new(RETRY_RATIO, MAX_SAVED_RETRIES);
        Self {
            registry,
            budget: RankedLock::new(LockRank::Samples, budget),
            first_byte,
            pool: HttpPool::new(connect),
            seed,
            services: RankedLock::new(LockRank::Services, BTreeMap::new()),
            zone,
        }
    }
}

impl<B> PlainCaller<B>
where
    B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Sends a request to a replica of the row's service and streams the body of the answer.
    ///
    /// A request that was never written is sent to another replica. One that may have run is sent again only if its row
    /// allows repeats and it has no body, because a body can't be read twice.
    ///
    /// # Errors
    ///
    /// The final failure for the caller. It has a "not run" code only if no try may have run.
    pub async fn call(
        &self,
        row: &WorkRow,
        request: Request<B>,
    ) -> Result<(UpstreamId, Response<PooledBody<B>>), FlowFailure> {
        let mut tries = PlainTries::new(row, &request);
        let mut request = request;
        loop {
            let Some(upstream) = self.pick(&row.service, &tries.tried) else {
                return Err(tries.end(retry_later(ResultCode::UpstreamMissing)));
            };
            let (unsent, failure) = match self.try_once(row, &upstream, request, &tries).await {
                TryOutcome::Answer(response) => {
                    self.budget.lock().succeeded();
                    return Ok((upstream, response));
                }
                TryOutcome::Failed(unsent, failure) => (unsent, failure),
            };
            let Some(next) = tries.next(upstream, unsent, failure.clone()) else {
                return Err(tries.end(failure));
            };
            if !self.budget.lock().take() {
                return Err(tries.end(retry_later(ResultCode::RetryBudgetSpent)));
            }
            request = next;
        }
    }

    /// Ends the count of a call whose answer was delivered or abandoned.
    pub fn end(&self, service: &ServiceId, upstream: &UpstreamId) {
        self.with_choice(service, |choice| choice.answered(upstream));
    }

    /// Calls in flight by replica, for the state dump.
    pub fn outstanding(&self) -> BTreeMap<UpstreamId, u32> {
        let services = self.services.lock();
        let mut counts = BTreeMap::new();
        for state in services.values() {
            for upstream in &state.known {
                counts.insert(upstream.clone(), state.choice.outstanding(upstream));
            }
        }
        counts
    }

    fn pick(&self, service: &ServiceId, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let live = self.live_replicas(service);
        let mut services = self.services.lock();
        let state = services
            .entry(service.clone())
            .or_insert_with(|| ServiceState {
                choice: ReplicaSelector::builder()
                    .back_off(REPLICA_BACKOFF)
                    .seed(self.seed)
                    .build(),
                known: BTreeSet::new(),
            });
        state.sync_replicas(&live);
        state.choice.pick_except(Instant::now(), tried)
    }

    /// The replicas that accept work: those of the own zone, or all others when it has none.
    fn live_replicas(&self, service: &ServiceId) -> BTreeSet<UpstreamId> {
        let map = self.registry.snapshot();
        let mut local = BTreeSet::new();
        let mut remote = BTreeSet::new();
        for (name, entry) in map.iter() {
            let record = &entry.record;
            let is_replica =
                record.kind == InstanceKind::Plain && record.service.as_ref() == Some(service);
            if !is_replica || entry.drain_cause().is_some() {
                continue;
            }
            if record.zone == self.zone {
                local.insert(name.clone());
                continue;
            }
            remote.insert(name.clone());
        }
        if local.is_empty() { remote } else { local }
    }

    async fn try_once(
        &self,
        row: &WorkRow,
        upstream: &UpstreamId,
        request: Request<B>,
        tries: &PlainTries<B>,
    ) -> TryOutcome<B> {
        let Some(address) = self.registry.address(upstream) else {
            self.with_choice(&row.service, |choice| choice.cancelled(upstream));
            return TryOutcome::Failed(Some(request), retry_later(ResultCode::UpstreamMissing));
        };
        let guard = CallGuard {
            caller: self,
            service: &row.service,
            upstream: Some(upstream),
        };
        let run_by = request.extensions().get::<RunDeadline>().copied();
        if run_by.is_some_and(RunDeadline::is_past) {
            return TryOutcome::Failed(None, FlowFailure::new(ResultCode::TicketExpired));
        }
        // A fresh connection avoids the unknown outcome of a pooled one that closed while idle.
        let sending = self.pool.try_send(address, request, tries.wants_fresh());
        let outcome = time::timeout(self.first_byte, sending).await;
        guard.disarm();
        match outcome {
            Ok(Ok(response)) => self.take_response(row, upstream, response),
            Ok(Err(failure)) => self.take_failure(&row.service, upstream, failure),
            Err(_) => {
                self.fail(&row.service, upstream);
                TryOutcome::Failed(None, FlowFailure::new(ResultCode::UpstreamSilent))
            }
        }
    }

    fn take_failure(
        &self,
        service: &ServiceId,
        upstream: &UpstreamId,
        failure: SendFailure<B>,
    ) -> TryOutcome<B> {
        self.fail(service, upstream);
        let outcome = match failure.unsent {
            Some(_) => retry_later(ResultCode::UpstreamRefused),
            None => FlowFailure::new(unknown_code(&failure.error)),
        };
        TryOutcome::Failed(failure.unsent, outcome)
    }

    fn take_response(
        &self,
        row: &WorkRow,
        upstream: &UpstreamId,
        response: Response<PooledBody<B>>,
    ) -> TryOutcome<B> {
        let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE
            && response
                .headers()
                .get(RAN_HEADER)
                .is_some_and(|value| value == RAN_NO);
        if !is_refusal {
            return TryOutcome::Answer(response);
        }
        self.fail(&row.service, upstream);
        TryOutcome::Failed(None, retry_later(ResultCode::UpstreamRefused))
    }

    fn fail(&self, service: &ServiceId, upstream: &UpstreamId) {
        self.with_choice(service, |choice| choice.failed(Instant::now(), upstream));
    }

    fn with_choice(&self, service: &ServiceId, edit: impl FnOnce(&mut ReplicaSelector)) {
        let mut services = self.services.lock();
        let Some(state) = services.get_mut(service) else {
            return;
        };
        edit(&mut state.choice);
    }
}

impl ServiceState {
    /// Synchronises the replica choice with the registry.
    fn sync_replicas(&mut self, live: &BTreeSet<UpstreamId>) {
        if self.known == *live {
            return;
        }
        for upstream in live.difference(&self.known) {
            self.choice.add(upstream.clone());
        }
        for upstream in self.known.difference(live) {
            self.choice.mark_leaving(upstream);
        }
        self.known = live.clone();
    }
}

/// Ends the count of a call whose caller disconnects before the head of the answer.
struct CallGuard<'a, B>
where
    B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    caller: &'a PlainCaller<B>,
    service: &'a ServiceId,
    upstream: Option<&'a UpstreamId>,
}

impl<B> CallGuard<'_, B>
where
    B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    fn disarm(mut self) {
        self.upstream = None;
    }
}

impl<B> Drop for CallGuard<'_, B>
where
    B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    fn drop(&mut self) {
        let Some(upstream) = self.upstream else {
            return;
        };
        self.caller
            .with_choice(self.service, |choice| choice.cancelled(upstream));
    }
}

fn retry_later(code: ResultCode) -> FlowFailure {
    FlowFailure {
        code,
        retry_after: Some(FAILURE_RETRY_AFTER),
    }
}

fn unknown_code(error: &CallError) -> ResultCode {
    match error.cause {
        CallCause::Garbled => ResultCode::UpstreamGarbled,
        CallCause::Silent => ResultCode::UpstreamSilent,
        _ => ResultCode::UpstreamLost,
    }
}
