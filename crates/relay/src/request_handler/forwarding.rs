//! Requests that go to another instance, and those that come from one.

use {
    super::RequestHandler,
    crate::{
        CallerDialect, CallerRequest, CustomerAccess, ErrorResponse, ForwardEnd, ForwardedRequest,
        RelayBody, RequestTrace, RouteTable, RunCount, TraceContext, UpstreamDialect,
        UsedConnections, WorkRoute, upstream_dialect::target_path,
    },
    http::{Request, Response, header},
    kernel::{ResultCode, ServiceId, steady_clock},
    std::{
        sync::{Arc, OnceLock},
        time::Duration,
    },
};

/// Retry delay while no instance that is known reaches the service.
const RETRY_AFTER: Duration = Duration::from_millis(300);

impl<D: CallerDialect + UpstreamDialect> RequestHandler<D> {
    /// Serves a request by the upstreams, or through another instance while this one can't reach them.
    pub(super) async fn serve_anywhere(
        &self,
        request: &Arc<CallerRequest>,
        route: &Arc<WorkRoute>,
        service: &ServiceId,
    ) -> Result<Response<RelayBody>, ErrorResponse> {
        let queue = &self.core.forwarding;
        if queue.is_open() && self.core.reach.is_lost(service) {
            let unreachable =
                ErrorResponse::with_retry_after(ResultCode::UpstreamUnreachable, RETRY_AFTER);
            return self.forward(request, route, service, 0, unreachable).await;
        }
        let failure = match self.serve_here(request, route, service, 0).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        match failure.runs_if_unreachable {
            Some(runs) if queue.is_open() => {
                self.forward(request, route, service, runs, failure.error)
                    .await
            }
            _ => Err(failure.error),
        }
    }

    /// Forwards a request. `otherwise` is the response when no instance takes it.
    async fn forward(
        &self,
        request: &Arc<CallerRequest>,
        route: &Arc<WorkRoute>,
        service: &ServiceId,
        runs: u32,
        otherwise: ErrorResponse,
    ) -> Result<Response<RelayBody>, ErrorResponse> {
        if let Some(access) = &request.access
            && let Some(refusal) = self.core.recheck_access(access, route)
        {
            return Err(otherwise.merge(refusal.error, runs > 0));
        }
        request.begin_run();
        let queue = &self.core.forwarding;
        let end = queue.forward(request, route, service, runs).await;
        request.end_run(matches!(end, ForwardEnd::Answer(_) | ForwardEnd::Lost(_)));
        let outcome = match end {
            ForwardEnd::Answer(response) => return Ok(response),
            ForwardEnd::Lost(code) => ErrorResponse::new(code),
            ForwardEnd::NoHelper => otherwise,
            ForwardEnd::Refused(error) => error,
        };
        // What ran before it was forwarded can't be taken back by a refusal.
        Err(otherwise.merge(outcome, runs > 0))
    }

    /// Serves a request of another instance by the upstreams that this one reaches, and never through a third one.
    ///
    /// # Errors
    ///
    /// The response when no upstream answered.
    pub async fn serve_forwarded(
        &self,
        forwarded: ForwardedRequest,
    ) -> Result<Response<RelayBody>, ErrorResponse> {
        let runs = forwarded.runs;
        let (request, route) = self.read_forwarded(forwarded)?;
        let Some(service) = route.service_for(&request.head.id).cloned() else {
            return Err(ErrorResponse::with_retry_after(
                ResultCode::UpstreamMissing,
                RETRY_AFTER,
            ));
        };
        let request = Arc::new(request);
        let serving = async {
            if self.core.reach.is_lost(&service) {
                let code = ResultCode::UpstreamUnreachable;
                return Err(ErrorResponse::with_retry_after(code, RETRY_AFTER));
            }
            let outcome = self.serve_here(&request, &route, &service, runs).await;
            outcome.map_err(|failure| failure.error)
        };
        let outcome = self.serve_until_close(&request, &route, serving).await;
        if let Err(error) = &outcome {
            request.trace.end(error.code);
        }
        outcome
    }

    fn read_forwarded(
        &self,
        forwarded: ForwardedRequest,
    ) -> Result<(CallerRequest, Arc<WorkRoute>), ErrorResponse> {
        if self.core.closing.is_raised() {
            return Err(ErrorResponse::new(ResultCode::Closing));
        }
        let not_ready = ErrorResponse::with_retry_after(ResultCode::NotReady, RETRY_AFTER);
        let table = self.core.routes.load_full().ok_or(not_ready)?;
        let host = forwarded.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let route = table.find(host, target_path(&forwarded.target));
        // The other instance has the route: one of the two tables is about to change.
        let route = route.cloned().ok_or(not_ready)?;
        let route = route.agreed(forwarded.repeat, forwarded.tries);
        let access = read_access(&forwarded, &table).ok_or(not_ready)?;
        let mut parts = Request::new(()).into_parts().0;
        parts.headers = forwarded.headers;
        parts.method = forwarded.method;
        parts.uri = forwarded.target;
        let invalid = |_| ErrorResponse::new(ResultCode::RequestInvalid);
        let head = self.core.dialect.read_head(&parts).map_err(invalid)?;
        let now = steady_clock::now();
        let since = now.checked_sub(forwarded.elapsed).unwrap_or(now);
        let customer = access.as_ref().map(|access| &access.customer);
        let rank = customer.and_then(|customer| customer.rank);
        let regions = customer.and_then(|customer| customer.regions.as_ref());
        let zones = {
            let settings = self.core.settings.load();
            settings.zone_filter([route.regions.as_ref(), regions])
        };
        let trace = RequestTrace::new(
            head.id.clone(),
            since,
            TraceContext {
                customer: customer.map(|customer| customer.id.clone()),
                list_age: self.core.upstreams.lock().list_age(now),
                pause: route.between_events,
                service: route.service_for(&head.id).cloned().unwrap_or_default(),
                target: route.first_byte,
                version: table.version,
                work: route.work.clone(),
            },
        );
        trace.note(format_args!("forwarded by {}", forwarded.from));
        trace.note_earlier_runs(forwarded.runs);
        let request = CallerRequest {
            access,
            body: forwarded.body.bytes,
            body_memory: forwarded.body.share,
            charge: None,
            connections: UsedConnections::default(),
            deadline: now + forwarded.left,
            head,
            headers: parts.headers,
            trace,
            method: parts.method,
            rank: rank.unwrap_or(route.rank),
            since,
            runs: RunCount::default(),
            suspects: OnceLock::new(),
            target: parts.uri,
            zones,
        };
        Ok((request, route))
    }
}

/// The access of the customer that the other instance has identified; the inner `None` without one. The outer `None` when
/// the customer is unknown here.
fn read_access(forwarded: &ForwardedRequest, table: &RouteTable) -> Option<Option<CustomerAccess>> {
    let Some((id, version)) = &forwarded.customer else {
        return Some(None);
    };
    let customer = table.customers.as_ref()?.customer(id)?.clone();
    Some(Some(CustomerAccess::checked_elsewhere(customer, *version)))
}
