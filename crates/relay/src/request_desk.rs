//! Takes one request of a caller: finds its row, reads it whole, and hands it to its flow.

use {
    crate::{
        AnswerCut, CallerDialect, CallerHead, CallerRequest, OwnAnswer, PlainFlow, RelayBody,
        RelayCore, RouteBook, StreamFlow, UpstreamDialect, WorkRoute,
        upstream_dialect::target_path,
    },
    bytes::Bytes,
    http::{Request, Response, header, request::Parts},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    kernel::{ResultCode, ServiceId},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// When to come back to another instance after this one closes: at once, but for the way there.
const CLOSING_PAUSE: Duration = Duration::from_millis(20);
/// When to come back while an instance has no routes yet: the store is read several times by then.
const START_PAUSE: Duration = Duration::from_millis(500);

/// Answers the requests of callers.
#[derive(Debug)]
pub struct RequestDesk<D> {
    core: Arc<RelayCore<D>>,
}

/// A request that is not read whole yet, with its row.
struct RoutedHead {
    book: Arc<RouteBook>,
    head: CallerHead,
    route: Arc<WorkRoute>,
    service: ServiceId,
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
        let since = Instant::now();
        let (parts, body) = request.into_parts();
        let routed = match self.route(&parts) {
            Ok(routed) => routed,
            Err(own) => return Ok(self.refuse(&parts, own)),
        };
        let wait = routed.head.wait.unwrap_or(routed.route.patience);
        let deadline = since + wait.min(routed.route.patience);
        let body = match self.read_body(&routed.book, deadline, body).await {
            Ok(body) => body,
            Err(Some(own)) => return Ok(self.refuse(&parts, own)),
            Err(None) => return Err(AnswerCut),
        };
        let request = CallerRequest {
            body,
            deadline,
            head: routed.head,
            headers: self.core.dialect.forwarded_headers(&parts.headers),
            method: parts.method.clone(),
            since,
            target: parts.uri.clone(),
        };
        self.core.note_request(&routed.service);
        let outcome = self.serve(request, &routed.route, &routed.service).await;
        Ok(match outcome {
            Ok(response) => {
                self.core.counts.note(ResultCode::Answered);
                response
            }
            Err(own) => self.refuse(&parts, own),
        })
    }

    async fn read_body(
        &self,
        book: &RouteBook,
        deadline: Instant,
        body: Incoming,
    ) -> Result<Bytes, Option<OwnAnswer>> {
        let reading = Limited::new(body, book.limits.body).collect();
        let left = deadline.saturating_duration_since(Instant::now());
        match time::timeout(left, reading).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                Err(Some(OwnAnswer::new(ResultCode::BodyTooLarge)))
            }
            Ok(Err(_)) | Err(_) => Err(None),
        }
    }

    fn refuse(&self, parts: &Parts, own: OwnAnswer) -> Response<RelayBody> {
        self.core.counts.note(own.code);
        tracing::info!(
            code = own.code.number(),
            path = parts.uri.path(),
            "a request was not served"
        );
        own.into_response()
    }

    fn route(&self, parts: &Parts) -> Result<RoutedHead, OwnAnswer> {
        if self.core.closing.is_raised() {
            return Err(OwnAnswer::later(ResultCode::Closing, CLOSING_PAUSE));
        }
        let Some(book) = self.core.book.load_full() else {
            return Err(OwnAnswer::later(ResultCode::NotReady, START_PAUSE));
        };
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let path = target_path(&parts.uri);
        let Some(route) = book.find(host, path).cloned() else {
            return Err(OwnAnswer::new(ResultCode::WorkUnknown));
        };
        let head = self.core.dialect.read_head(parts).map_err(|fault| {
            tracing::info!(%fault, "a request can't be read");
            OwnAnswer::new(ResultCode::RequestInvalid)
        })?;
        let Some(service) = route.service_for(&head.id).cloned() else {
            return Err(OwnAnswer::later(ResultCode::UpstreamMissing, START_PAUSE));
        };
        if !self.core.board.lock().known {
            return Err(OwnAnswer::later(ResultCode::NotReady, START_PAUSE));
        }
        Ok(RoutedHead {
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
        if route.streams {
            let request = Arc::new(request);
            let flow = StreamFlow::new(self.core.clone(), request, route.clone(), service.clone());
            return flow.run().await;
        }
        PlainFlow::new(&self.core, &request, route, service)
            .run()
            .await
    }
}
