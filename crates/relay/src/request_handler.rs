//! Handles one request of a caller: finds its route, reads it in full, and passes it to the flow of its service.

mod forwarding;

use {
    crate::{
        AccessRefusal, AnswerCut, BodyAllowance, BufferedBody, CallerDialect, CallerHead,
        CallerRequest, CollectError, CustomerAccess, ErrorResponse, FlowFailure, PlainFlow,
        RefusalReason, RelayBody, RelayCore, RequestTrace, RouteTable, RunCount, StreamFlow,
        TraceContext, UpstreamDialect, UsedConnections, WorkRoute, relay_core::status_code,
        upstream_dialect::target_path,
    },
    http::{Request, Response, header, request::Parts},
    hyper::body::Incoming,
    kernel::{ResultCode, ServiceId, steady_clock},
    std::{
        sync::{Arc, OnceLock},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Retry delay while this instance shuts down: another one can serve the request at once.
const CLOSING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Retry delay while bodies take all memory for them: slow readers need a moment.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The `work` label of requests without a route.
const NO_ROUTE: &str = "";
/// Retry delay while an instance has no routes yet: the store is read several times within it.
const START_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Handles the requests of callers.
#[derive(Debug)]
pub struct RequestHandler<D> {
    core: Arc<RelayCore<D>>,
}

/// A request with its route, before its body is read.
struct RoutedHead {
    access: Option<CustomerAccess>,
    table: Arc<RouteTable>,
    head: CallerHead,
    route: Arc<WorkRoute>,
    service: ServiceId,
}

/// A refusal by the head of the request alone.
struct HeadRefusal {
    error: ErrorResponse,
    reason: Option<RefusalReason>,
}

impl From<ErrorResponse> for HeadRefusal {
    fn from(error: ErrorResponse) -> Self {
        Self {
            error,
            reason: None,
        }
    }
}

impl From<AccessRefusal> for HeadRefusal {
    fn from(refusal: AccessRefusal) -> Self {
        Self {
            error: refusal.error,
            reason: Some(refusal.reason),
        }
    }
}

impl<D> Clone for RequestHandler<D> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
        }
    }
}

impl<D: CallerDialect + UpstreamDialect> RequestHandler<D> {
    /// A handler that works on the shared state.
    pub fn new(core: Arc<RelayCore<D>>) -> Self {
        Self { core }
    }

    /// Handles one request.
    ///
    /// # Errors
    ///
    /// The connection has to be cut, because the request's body did not arrive.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<RelayBody>, AnswerCut> {
        let since = steady_clock::now();
        let (parts, body) = request.into_parts();
        self.core.start.wait_at_startup().await;
        let routed = match self.route(&parts) {
            Ok(routed) => routed,
            Err(refusal) => return Ok(self.refuse(&parts, refusal)),
        };
        let wait = routed.head.wait.unwrap_or(routed.route.patience);
        let deadline = since + wait.min(routed.route.patience);
        let body = match self.read_body(&routed.table, deadline, body).await {
            Ok(body) => body,
            Err(Some(error)) => return Ok(self.refuse(&parts, error.into())),
            Err(None) => return Err(AnswerCut),
        };
        let trace = self.trace(&routed, since);
        let mut headers = self.core.dialect.forwarded_headers(&parts.headers);
        if routed.table.customers.is_some() {
            self.core.dialect.drop_identity(&mut headers);
        }
        let customer = routed.access.as_ref().map(|access| &access.customer);
        let rank = customer.and_then(|customer| customer.rank);
        let regions = customer.and_then(|customer| customer.regions.as_ref());
        let settings = self.core.settings.load();
        let zones = settings.zone_filter([routed.route.regions.as_ref(), regions]);
        let mut request = CallerRequest {
            access: routed.access,
            body: body.bytes,
            body_memory: body.share,
            charge: None,
            connections: UsedConnections::default(),
            deadline,
            head: routed.head,
            headers,
            trace,
            method: parts.method.clone(),
            rank: rank.unwrap_or(routed.route.rank),
            since,
            runs: RunCount::default(),
            suspects: OnceLock::new(),
            target: parts.uri.clone(),
            zones,
        };
        if let Some(left) = self.core.crashes.quarantine_left(&request) {
            return Ok(self.quarantine(&request, &routed.route, left));
        }
        let charging = self
            .core
            .charge(request.access.as_ref(), &routed.route, &request.head);
        match charging {
            Ok(charge) => request.charge = charge,
            Err(refusal) => return Ok(self.reject(&request, &routed.route, &refusal)),
        }
        self.core.note_request(&routed.service);
        let outcome = self.serve(request, &routed.route, &routed.service).await;
        Ok(match outcome {
            Ok(response) => response,
            Err(error) => error.into_response(),
        })
    }

    async fn read_body(
        &self,
        table: &RouteTable,
        deadline: Instant,
        body: Incoming,
    ) -> Result<BufferedBody, Option<ErrorResponse>> {
        let reading = self
            .core
            .buffers
            .collect(body, BodyAllowance::new(table.limits.body));
        let left = deadline.saturating_duration_since(steady_clock::now());
        let outcome = tokio::select! {
            outcome = time::timeout(left, reading) => outcome,
            () = self.core.close_clock.wait_over() => return Err(Some(closing())),
        };
        match outcome {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(CollectError::TooLarge)) => {
                Err(Some(ErrorResponse::new(ResultCode::BodyTooLarge)))
            }
            Ok(Err(CollectError::BudgetSpent)) => Err(Some(ErrorResponse::with_retry_after(
                ResultCode::MemorySpent,
                MEMORY_RETRY_AFTER,
            ))),
            Ok(Err(CollectError::Cut)) | Err(_) => Err(None),
        }
    }

    /// Refuses a request for its key or quota, before it reserves a slot, prefills a prompt or spends a retry.
    fn reject(
        &self,
        request: &CallerRequest,
        route: &WorkRoute,
        refusal: &AccessRefusal,
    ) -> Response<RelayBody> {
        request.trace.note(format_args!("{}", refusal.reason));
        self.end_early(request, route, refusal.error)
    }

    /// Refuses a request in quarantine.
    fn quarantine(
        &self,
        request: &CallerRequest,
        route: &WorkRoute,
        left: Duration,
    ) -> Response<RelayBody> {
        let error = ErrorResponse::with_retry_after(ResultCode::RequestQuarantined, left);
        self.end_early(request, route, error)
    }

    fn end_early(
        &self,
        request: &CallerRequest,
        route: &WorkRoute,
        error: ErrorResponse,
    ) -> Response<RelayBody> {
        self.count(request.access.as_ref(), route, error.code, request.since);
        request.trace.end(error.code);
        error.into_response()
    }

    fn count(
        &self,
        access: Option<&CustomerAccess>,
        route: &WorkRoute,
        code: ResultCode,
        since: Instant,
    ) {
        let counts = &self.core.counts;
        counts.note(&route.work, code, steady_clock::elapsed(since));
        if let Some(access) = access {
            counts.customers.note(Some(&access.customer.id), code);
        }
    }

    /// Refuses a request without a route or a valid key, or one that is malformed or incomplete.
    fn refuse(&self, parts: &Parts, refusal: HeadRefusal) -> Response<RelayBody> {
        let HeadRefusal { error, reason } = refusal;
        self.core.counts.note(NO_ROUTE, error.code, Duration::ZERO);
        if reason.is_some() {
            self.core.counts.customers.note(None, error.code);
        }
        tracing::info!(
            code = error.code.number(),
            path = parts.uri.path(),
            reason = reason.map(tracing::field::display),
            request = self.core.dialect.request_id(parts),
            "request refused"
        );
        error.into_response()
    }

    fn trace(&self, routed: &RoutedHead, since: Instant) -> RequestTrace {
        let list_age = self.core.upstreams.lock().list_age(since);
        let access = routed.access.as_ref();
        let context = TraceContext {
            customer: access.map(|access| access.customer.id.clone()),
            list_age,
            pause: routed.route.between_events,
            service: routed.service.clone(),
            target: routed.route.first_byte,
            version: routed.table.version,
            work: routed.route.work.clone(),
        };
        RequestTrace::new(routed.head.id.clone(), since, context)
    }

    fn route(&self, parts: &Parts) -> Result<RoutedHead, HeadRefusal> {
        if self.core.closing.is_raised() {
            return Err(closing().into());
        }
        let Some(table) = self.core.routes.load_full() else {
            return Err(
                ErrorResponse::with_retry_after(ResultCode::NotReady, START_RETRY_AFTER).into(),
            );
        };
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let path = target_path(&parts.uri);
        let Some(route) = table.find(host, path).cloned() else {
            return Err(ErrorResponse::new(ResultCode::WorkUnknown).into());
        };
        let access = self.core.identify(&table, &route, &parts.headers)?;
        let head = self.core.dialect.read_head(parts).map_err(|fault| {
            tracing::info!(%fault, "the head of a request is invalid");
            ErrorResponse::new(ResultCode::RequestInvalid)
        })?;
        let Some(service) = route.service_for(&head.id).cloned() else {
            return Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamMissing,
                START_RETRY_AFTER,
            )
            .into());
        };
        if !self.core.upstreams.lock().is_loaded {
            return Err(
                ErrorResponse::with_retry_after(ResultCode::NotReady, START_RETRY_AFTER).into(),
            );
        }
        Ok(RoutedHead {
            access,
            table,
            head,
            route,
            service,
        })
    }

    async fn serve(
        &self,
        request: CallerRequest,
        route: &Arc<WorkRoute>,
        service: &ServiceId,
    ) -> Result<Response<RelayBody>, ErrorResponse> {
        let request = Arc::new(request);
        let serving = self.serve_anywhere(&request, route, service);
        let outcome = self.serve_until_close(&request, route, serving).await;
        let code = match &outcome {
            Ok(response) => status_code(response.status()),
            Err(error) => error.code,
        };
        self.count(request.access.as_ref(), route, code, request.since);
        if let Err(error) = &outcome {
            request.trace.end(error.code);
        }
        outcome
    }

    /// Serves a request in the time that is left while this instance closes.
    async fn serve_until_close(
        &self,
        request: &CallerRequest,
        route: &WorkRoute,
        serving: impl Future<Output = Result<Response<RelayBody>, ErrorResponse>>,
    ) -> Result<Response<RelayBody>, ErrorResponse> {
        tokio::select! {
            // A request that comes too late is refused before it is sent.
            biased;
            error = self.wait_close(request, route) => Err(error),
            outcome = serving => outcome,
        }
    }

    /// Waits until this instance closes and a request can't be served any more: it has not been sent and would end too
    /// late, or it is still in progress when the last answers are given.
    async fn wait_close(&self, request: &CallerRequest, route: &WorkRoute) -> ErrorResponse {
        let answer_by = self.core.close_clock.answer_by().await;
        if request.deadline > answer_by {
            let needed = self.core.answer_time(&route.work);
            let left = answer_by.saturating_duration_since(steady_clock::now());
            let pause = left.saturating_sub(needed.unwrap_or(left));
            // Even a sleep of no time lets the request be sent before it ends.
            if !pause.is_zero() {
                time::sleep(pause).await;
            }
            if !request.runs.may_have_run() {
                return closing();
            }
        }
        self.core.close_clock.wait_over().await;
        if !request.runs.may_have_run() {
            return closing();
        }
        self.core.close_clock.note_cut();
        ErrorResponse::new(ResultCode::CutByClose)
    }

    /// Serves a request by the upstreams that this instance calls. It may have run `runs` times before.
    async fn serve_here(
        &self,
        request: &Arc<CallerRequest>,
        route: &Arc<WorkRoute>,
        service: &ServiceId,
        runs: u32,
    ) -> Result<Response<RelayBody>, FlowFailure> {
        if route.streams {
            let core = self.core.clone();
            let flow = StreamFlow::new(core, request.clone(), route.clone(), service.clone());
            return flow.run().await;
        }
        let flow = PlainFlow::new(&self.core, request, route, service, runs);
        let outcome = flow.run().await;
        if let Ok(response) = &outcome {
            request.trace.note_first_byte();
            request.trace.end(status_code(response.status()));
        }
        outcome
    }
}

/// The refusal of a closing instance.
fn closing() -> ErrorResponse {
    ErrorResponse::with_retry_after(ResultCode::Closing, CLOSING_RETRY_AFTER)
}
