//! HTTP interface of the platform.

use {
    super::{platform_core::ReplyDelivery, stand_in_platform::PlatformState},
    crate::net::{JsonBody, aborted_response},
    axum::{
        Json, Router,
        extract::{DefaultBodyLimit, Path, Query, Request, State},
        middleware::{self, Next},
        response::{IntoResponse, Response},
        routing::{get, post, put},
    },
    bytes::Bytes,
    http::StatusCode,
    plat::{InstanceRecord, Transaction},
    serde::Deserialize,
    std::{sync::Arc, time::Instant},
};

#[derive(Debug, Deserialize)]
struct ScanQuery {
    #[serde(default)]
    prefix: Arc<str>,
}

/// Creates the router of the platform's own address.
pub(super) fn routes(state: PlatformState) -> Router {
    Router::new()
        .route("/instances", get(list_instances))
        .route(
            "/instances/{name}",
            put(put_instance).delete(remove_instance),
        )
        .route("/objects/{*key}", get(get_object).put(put_object))
        .route("/rows", get(scan_rows))
        .route("/rows/{*key}", get(get_row))
        .route("/tx", post(commit))
        .layer(DefaultBodyLimit::disable())
        .layer(middleware::from_fn_with_state(state.clone(), inject_delay))
        .with_state(state)
}

async fn inject_delay(
    State(state): State<PlatformState>,
    request: Request,
    next: Next,
) -> Response {
    let delay = state.with(|core| core.faults().delay);
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if state.with(|core| core.faults().down) {
        return aborted_response();
    }
    let reply = next.run(request).await;
    let reply_delay = state.with(|core| core.faults().reply_delay);
    if !reply_delay.is_zero() {
        tokio::time::sleep(reply_delay).await;
    }
    reply
}

async fn commit(
    State(state): State<PlatformState>,
    JsonBody(transaction): JsonBody<Transaction>,
) -> Response {
    let (reply, delivery) = state.with(|core| core.commit(Instant::now(), &transaction));
    answer(delivery, Json(reply))
}

async fn get_object(State(state): State<PlatformState>, Path(key): Path<Arc<str>>) -> Response {
    match state.with(|core| core.get_object(Instant::now(), &key)) {
        Some(content) => content.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn get_row(State(state): State<PlatformState>, Path(key): Path<Arc<str>>) -> Response {
    match state.with(|core| core.get_row(Instant::now(), &key)) {
        Some(row) => Json(row).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn list_instances(State(state): State<PlatformState>) -> Response {
    if state.with(|core| core.faults().list_down) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(state.with(|core| core.list_instances(Instant::now()))).into_response()
}

async fn put_instance(
    State(state): State<PlatformState>,
    Path(name): Path<Arc<str>>,
    JsonBody(mut record): JsonBody<InstanceRecord>,
) -> Response {
    record.name = name;
    let delivery = state.with(|core| core.put_instance(Instant::now(), record));
    answer(delivery, StatusCode::NO_CONTENT)
}

async fn put_object(
    State(state): State<PlatformState>,
    Path(key): Path<Arc<str>>,
    content: Bytes,
) -> Response {
    let delivery = state.with(|core| core.put_object(Instant::now(), key, content));
    answer(delivery, StatusCode::NO_CONTENT)
}

async fn remove_instance(
    State(state): State<PlatformState>,
    Path(name): Path<Arc<str>>,
) -> Response {
    let (found, delivery) = state.with(|core| core.remove_instance(Instant::now(), &name));
    if !found {
        return answer(delivery, StatusCode::NOT_FOUND);
    }
    answer(delivery, StatusCode::NO_CONTENT)
}

async fn scan_rows(State(state): State<PlatformState>, Query(query): Query<ScanQuery>) -> Response {
    Json(state.with(|core| core.scan_rows(Instant::now(), &query.prefix))).into_response()
}

fn answer(delivery: ReplyDelivery, reply: impl IntoResponse) -> Response {
    match delivery {
        ReplyDelivery::Lost => aborted_response(),
        ReplyDelivery::Sent => reply.into_response(),
    }
}
