//! Takes one request of a caller: finds its row, reads it whole, and hands it to its flow.

use {
    crate::{
        AnswerCut, CallerDialect, CallerHead, CallerRequest, CustomerAccess, GateReason,
        GateRefusal, OwnAnswer, PlainFlow, RelayBody, RelayCore, RequestStory, RouteBook,
        StoryStart, StreamFlow, UpstreamDialect, WorkRoute, relay_core::status_code,
        upstream_dialect::target_path,
    },
    bytes::Bytes,
    http::{Request, Response, header, request::Parts},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    kernel::{ResultCode, ServiceId, steady_clock},
    std::{
        sync::{Arc, OnceLock},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// When to come back to another instance after this one closes: at once, but for the way there.
const CLOSING_PAUSE: Duration = Duration::from_millis(20);
/// The work of requests that no row is known for, in counters.
const NO_ROW: &str = "";
/// When to come back while an instance has no routes yet: the store is read several times by then.
const START_PAUSE: Duration = Duration::from_millis(500);

/// Answers the requests of callers.
#[derive(Debug)]
pub struct RequestDesk<D> {
    core: Arc<RelayCore<D>>,
}

/// A request that is not read whole yet, with its row.
struct RoutedHead {
    access: Option<CustomerAccess>,
    book: Arc<RouteBook>,
    head: CallerHead,
    route: Arc<WorkRoute>,
    service: ServiceId,
}

/// Why a request goes no further than its head.
struct HeadRefusal {
    own: OwnAnswer,
    reason: Option<GateReason>,
}

impl From<OwnAnswer> for HeadRefusal {
    fn from(own: OwnAnswer) -> Self {
        Self { own, reason: None }
    }
}

impl From<GateRefusal> for HeadRefusal {
    fn from(refusal: GateRefusal) -> Self {
        Self {
            own: refusal.own,
            reason: Some(refusal.reason),
        }
    }
}

impl<D> Clone for RequestDesk<D> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
        }
    }
}

impl<D: CallerDialect + UpstreamDialect> RequestDesk<D> {
    /// A desk in front of the shared state.
    pub fn new(core: Arc<RelayCore<D>>) -> Self {
        Self { core }
    }

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// The connection has to be cut: the request's body did not arrive.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<RelayBody>, AnswerCut> {
        let since = steady_clock::now();
        let (parts, body) = request.into_parts();
        self.core.start.wait_young().await;
        let routed = match self.route(&parts) {
            Ok(routed) => routed,
            Err(refusal) => return Ok(self.refuse(&parts, refusal)),
        };
        let wait = routed.head.wait.unwrap_or(routed.route.patience);
        let deadline = since + wait.min(routed.route.patience);
        let body = match self.read_body(&routed.book, deadline, body).await {
            Ok(body) => body,
            Err(Some(own)) => return Ok(self.refuse(&parts, own.into())),
            Err(None) => return Err(AnswerCut),
        };
        let story = self.story(&routed, since);
        let mut headers = self.core.dialect.forwarded_headers(&parts.headers);
        if routed.book.customers.is_some() {
            self.core.dialect.drop_identity(&mut headers);
        }
        let customer = routed.access.as_ref().map(|access| &access.customer);
        let rank = customer.and_then(|customer| customer.rank);
        let mut request = CallerRequest {
            access: routed.access,
            body,
            charge: None,
            deadline,
            fingerprint: OnceLock::new(),
            head: routed.head,
            headers,
            story,
            method: parts.method.clone(),
            rank: rank.unwrap_or(routed.route.rank),
            since,
            target: parts.uri.clone(),
        };
        if let Some(left) = self.core.crashes.held(&request) {
            return Ok(self.quarantine(&request, &routed.route, left));
        }
        let charging = self
            .core
            .charge(request.access.as_ref(), &routed.route, &request.head);
        match charging {
            Ok(charge) => request.charge = charge,
            Err(refusal) => return Ok(self.bar(&request, &routed.route, &refusal)),
        }
        self.core.note_request(&routed.service);
        let outcome = self.serve(request, &routed.route, &routed.service).await;
        Ok(match outcome {
            Ok(response) => response,
            Err(own) => own.into_response(),
        })
    }

    async fn read_body(
        &self,
        book: &RouteBook,
        deadline: Instant,
        body: Incoming,
    ) -> Result<Bytes, Option<OwnAnswer>> {
        let reading = Limited::new(body, book.limits.body).collect();
        let left = deadline.saturating_duration_since(steady_clock::now());
        match time::timeout(left, reading).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                Err(Some(OwnAnswer::new(ResultCode::BodyTooLarge)))
            }
            Ok(Err(_)) | Err(_) => Err(None),
        }
    }

    /// Refuses a request that may not go on: it takes no place, reads no prompt and spends no retry.
    fn bar(
        &self,
        request: &CallerRequest,
        route: &WorkRoute,
        refusal: &GateRefusal,
    ) -> Response<RelayBody> {
        request.story.note(format_args!("{}", refusal.reason));
        self.end_early(request, route, refusal.own)
    }

    /// Refuses a request that is in quarantine.
    fn quarantine(
        &self,
        request: &CallerRequest,
        route: &WorkRoute,
        left: Duration,
    ) -> Response<RelayBody> {
        let own = OwnAnswer::later(ResultCode::RequestQuarantined, left);
        self.end_early(request, route, own)
    }

    fn end_early(
        &self,
        request: &CallerRequest,
        route: &WorkRoute,
        own: OwnAnswer,
    ) -> Response<RelayBody> {
        self.count(request.access.as_ref(), route, own.code, request.since);
        request.story.end(own.code);
        own.into_response()
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

    /// Refuses a request that has no row, shows no key that holds, or did not arrive whole.
    fn refuse(&self, parts: &Parts, refusal: HeadRefusal) -> Response<RelayBody> {
        let HeadRefusal { own, reason } = refusal;
        self.core.counts.note(NO_ROW, own.code, Duration::ZERO);
        if reason.is_some() {
            self.core.counts.customers.note(None, own.code);
        }
        tracing::info!(
            code = own.code.number(),
            path = parts.uri.path(),
            reason = reason.map(tracing::field::display),
            request = self.core.dialect.request_id(parts),
            "request refused"
        );
        own.into_response()
    }

    fn story(&self, routed: &RoutedHead, since: Instant) -> RequestStory {
        let list_age = self.core.board.lock().list_age(since);
        let access = routed.access.as_ref();
        let start = StoryStart {
            customer: access.map(|access| access.customer.id.clone()),
            list_age,
            pause: routed.route.between_events,
            service: routed.service.clone(),
            target: routed.route.first_byte,
            version: routed.book.version,
            work: routed.route.work.clone(),
        };
        RequestStory::new(routed.head.id.clone(), since, start)
    }

    fn route(&self, parts: &Parts) -> Result<RoutedHead, HeadRefusal> {
        if self.core.closing.is_raised() {
            return Err(OwnAnswer::later(ResultCode::Closing, CLOSING_PAUSE).into());
        }
        let Some(book) = self.core.book.load_full() else {
            return Err(OwnAnswer::later(ResultCode::NotReady, START_PAUSE).into());
        };
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let path = target_path(&parts.uri);
        let Some(route) = book.find(host, path).cloned() else {
            return Err(OwnAnswer::new(ResultCode::WorkUnknown).into());
        };
        let access = self.core.identify(&book, &route, &parts.headers)?;
        let head = self.core.dialect.read_head(parts).map_err(|fault| {
            tracing::info!(%fault, "a request can't be read");
            OwnAnswer::new(ResultCode::RequestInvalid)
        })?;
        let Some(service) = route.service_for(&head.id).cloned() else {
            return Err(OwnAnswer::later(ResultCode::UpstreamMissing, START_PAUSE).into());
        };
        if !self.core.board.lock().is_loaded {
            return Err(OwnAnswer::later(ResultCode::NotReady, START_PAUSE).into());
        }
        Ok(RoutedHead {
            access,
            book,
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
    ) -> Result<Response<RelayBody>, OwnAnswer> {
        let request = Arc::new(request);
        let outcome = match route.streams {
            true => {
                let core = self.core.clone();
                let flow = StreamFlow::new(core, request.clone(), route.clone(), service.clone());
                flow.run().await
            }
            false => {
                let flow = PlainFlow::new(&self.core, &request, route, service);
                let outcome = flow.run().await;
                if let Ok(response) = &outcome {
                    request.story.first_byte();
                    request.story.end(status_code(response.status()));
                }
                outcome
            }
        };
        let code = match &outcome {
            Ok(response) => status_code(response.status()),
            Err(own) => own.code,
        };
        self.count(request.access.as_ref(), route, code, request.since);
        if let Err(own) = &outcome {
            request.story.end(own.code);
        }
        outcome
    }
}
