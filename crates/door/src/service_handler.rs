//! The handler of `/services/{service}/{path}`, which forwards requests to plain services with streamed bodies.

use {
    crate::{
        admission_gate::GatePass,
        api_context::ApiContext,
        error_answer::{ErrorAnswer, RESULT_HEADER},
        work_header::{WORK_HEADER, work_from_headers},
    },
    axum::{
        body::Body,
        extract::{Path, State},
        response::{IntoResponse, Response},
    },
    bytes::Bytes,
    engine::{ModelEngine, PooledBody},
    flow::{FlowFailure, PlainCaller, plain_limiter::LimitPermit},
    http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, header},
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    kernel::{ResultCode, ServiceId, UpstreamId},
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
};

const GATE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Hop-by-hop headers, which are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The body of a plain service's answer. The call counts as in flight until it is dropped.
struct CountedBody {
    body: PooledBody<Body>,
    caller: Arc<PlainCaller<Body>>,
    _limit: LimitPermit,
    _pass: GatePass,
    service: ServiceId,
    upstream: UpstreamId,
}

/// Handles every method on `/services/{service}/{path}`.
pub async fn handle<E: ModelEngine>(
    State(context): State<Arc<ApiContext<E>>>,
    Path((service, _)): Path<(String, String)>,
    request: Request<Body>,
) -> Response {
    match forward(context, service.into(), request).await {
        Ok(response) => response,
        Err(answer) => answer.into_response(),
    }
}

async fn forward<E: ModelEngine>(
    context: Arc<ApiContext<E>>,
    service: ServiceId,
    request: Request<Body>,
) -> Result<Response, ErrorAnswer> {
    let pass = context
        .gate
        .enter()
        .map_err(|code| ErrorAnswer::of(code).with_retry_after(GATE_RETRY_AFTER))?;
    let work = work_from_headers(request.headers(), context.defaults.services.get(&service));
    let row = context.row(work)?;
    if row.service != service || row.model.is_some() {
        let detail = format!(
            "the row {:?} is not for the plain service {service:?}",
            row.work
        );
        return Err(ErrorAnswer::of(ResultCode::ServiceUnknown).with_detail(detail));
    }
    let request = upstream_request(request, &service)?;
    let metrics = &context.flow.metrics;
    let refuse = |failure: FlowFailure| {
        metrics.count_end(failure.code, &row.work);
        ErrorAnswer::from(failure)
    };
    let entered = tokio::select! {
        entered = context.limiter.enter(&row) => entered,
        () = context.flow.cut.raised() => Err(FlowFailure::new(ResultCode::Closing)),
    };
    let limit = entered.map_err(refuse)?;
    let outcome = tokio::select! {
        outcome = context.plain.call(&row, request) => outcome,
        () = context.flow.cut.raised() => Err(FlowFailure::new(ResultCode::CutByClose)),
    };
    let (upstream, response) = outcome.map_err(refuse)?;
    metrics.count_end(ResultCode::Answered, &row.work);
    let body = |body| CountedBody {
        body,
        caller: context.plain.clone(),
        _limit: limit,
        _pass: pass,
        service,
        upstream,
    };
    let mut response = response.map(|inner| Body::new(body(inner)));
    drop_connection_headers(response.headers_mut());
    response.headers_mut().insert(
        RESULT_HEADER,
        HeaderValue::from(ResultCode::Answered.number()),
    );
    Ok(response)
}

/// Rewrites a request for the upstream: keeps only the path after the service name and removes hop-by-hop headers
/// and the work header.
fn upstream_request(
    mut request: Request<Body>,
    service: &str,
) -> Result<Request<Body>, ErrorAnswer> {
    let prefix = format!("/services/{service}");
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let path = path.strip_prefix(&prefix).unwrap_or(path);
    let uri: Uri = path.parse().map_err(|error: http::uri::InvalidUri| {
        ErrorAnswer::of(ResultCode::RequestInvalid).with_detail(error)
    })?;
    *request.uri_mut() = uri;
    *request.version_mut() = http::Version::HTTP_11;
    let headers = request.headers_mut();
    drop_connection_headers(headers);
    headers.remove(WORK_HEADER);
    Ok(request)
}

fn drop_connection_headers(headers: &mut HeaderMap) {
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.caller.end(&self.service, &self.upstream);
    }
}
