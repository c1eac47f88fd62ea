//! HTTP interface of a plain service, which accepts any method and path.

use {
    super::{
        body_chunks::BodyChunks,
        service_answer::ServiceAnswer,
        service_headers::{ANSWER_SIZE_HEADER, ECHO_HEADER, RAN_HEADER, RUN_KEY_HEADER},
        service_state::{RunGuard, ServiceState},
    },
    crate::net::{ConnectionAborted, aborted_response},
    axum::{
        Router,
        body::Body,
        extract::{Request, State},
        response::{IntoResponse, Response},
    },
    bytes::Bytes,
    futures_util::{Stream, StreamExt, stream},
    http::{HeaderMap, StatusCode, header::CONTENT_TYPE, request::Parts},
    xxhash_rust::xxh3::Xxh3,
};

/// Malformed JSON sent by the `garbage` fault.
const GARBAGE: &str = "{\"body_bytes\": \u{1}<<<";

/// Creates the router of the service's own address.
pub(super) fn routes(state: ServiceState) -> Router {
    Router::new().fallback(run).with_state(state)
}

async fn run(State(state): State<ServiceState>, request: Request) -> Response {
    let faults = state.with(|shared| shared.faults.clone());
    if faults.refuse {
        state.with(|shared| shared.counters.refused += 1);
        return (StatusCode::SERVICE_UNAVAILABLE, [(RAN_HEADER, "no")]).into_response();
    }
    let (parts, body) = request.into_parts();
    let key = run_key(&parts.headers);
    let guard = state.start_run(&key);
    let delay = state.delay();
    if parts.headers.contains_key(ECHO_HEADER) && !faults.close_after_read {
        tokio::time::sleep(delay).await;
        return stream_answer(guard, body.into_data_stream(), faults.cut_after_bytes);
    }
    let Some((bytes, hash)) = read_body(body).await else {
        return aborted_response();
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if faults.close_after_read {
        state.with(|shared| shared.counters.closed_after_read += 1);
        return aborted_response();
    }
    if faults.garbage {
        return stream_answer(guard, once(GARBAGE), faults.cut_after_bytes);
    }
    if let Some(size) = answer_size(&parts.headers) {
        let chunks = BodyChunks::new(path_of(&parts), &key, size).map(Ok::<_, ConnectionAborted>);
        return stream_answer(guard, stream::iter(chunks), faults.cut_after_bytes);
    }
    let answer =
        ServiceAnswer::from_hash(parts.method.as_str(), path_of(&parts), &key, bytes, hash);
    let text = serde_json::to_string(&answer).unwrap_or_default();
    let mut response = stream_answer(guard, once(text), faults.cut_after_bytes);
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn answer_size(headers: &HeaderMap) -> Option<usize> {
    headers.get(ANSWER_SIZE_HEADER)?.to_str().ok()?.parse().ok()
}

fn once(
    text: impl Into<Bytes>,
) -> impl Stream<Item = Result<Bytes, ConnectionAborted>> + Send + 'static {
    let chunk = text.into();
    stream::iter([Ok(chunk)])
}

fn path_of(parts: &Parts) -> &str {
    parts.uri.path_and_query().map_or("/", |path| path.as_str())
}

async fn read_body(body: Body) -> Option<(u64, u64)> {
    let mut chunks = body.into_data_stream();
    let mut hasher = Xxh3::with_seed(0);
    let mut bytes = 0;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.ok()?;
        bytes += chunk.len() as u64;
        hasher.update(&chunk);
    }
    Some((bytes, hasher.digest()))
}

fn run_key(headers: &HeaderMap) -> String {
    for name in [RUN_KEY_HEADER, engine::wire::REQUEST_ID_HEADER] {
        let Some(value) = headers.get(name) else {
            continue;
        };
        return String::from_utf8_lossy(value.as_bytes()).into_owned();
    }
    String::new()
}

/// Streams the chunks and closes the connection after `limit` bytes. The body owns the guard of the run.
fn stream_answer<E: Send + 'static>(
    guard: RunGuard,
    chunks: impl Stream<Item = Result<Bytes, E>> + Send + 'static,
    limit: Option<u64>,
) -> Response {
    let remaining = limit.unwrap_or(u64::MAX);
    let state = (guard, Box::pin(chunks), remaining);
    let body = stream::unfold(state, |(mut guard, mut chunks, remaining)| async move {
        if remaining == 0 {
            // Lets the server flush the bytes before the abort.
            tokio::task::yield_now().await;
            return Some((Err(ConnectionAborted), (guard, chunks, remaining)));
        }
        let Some(chunk) = chunks.next().await else {
            guard.finish();
            return None;
        };
        let Ok(mut chunk) = chunk else {
            return Some((Err(ConnectionAborted), (guard, chunks, 0)));
        };
        chunk.truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
        let remaining = remaining - chunk.len() as u64;
        Some((Ok(chunk), (guard, chunks, remaining)))
    });
    Body::from_stream(body).into_response()
}
