//! HTTP interface of an engine.

use {
    super::{
        core_prefill::ExportError,
        engine_driver::{EngineDriver, RunSubscription},
        engine_event::{EngineCall, EngineEvent, KvImport},
        engine_faults::EngineFaults,
        engine_run::{KvHandle, RunEnd, RunView},
        token_body::{COMPLETION_OBJECT, TokenBody, usage},
    },
    crate::{
        expected_answer::{DEFAULT_MAX_TOKENS, expected_text},
        net::{JsonBody, aborted_response},
    },
    axum::{
        Json, Router,
        extract::{DefaultBodyLimit, Path, Query, State},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    bytes::Bytes,
    engine::wire::{
        CacheEvents, CompletionCall, CompletionChoice, CompletionChunk, EngineError, EngineLoad,
        EngineOrder, KvTransferParams, REQUEST_ID_HEADER, StreamRecord,
    },
    http::{HeaderMap, StatusCode, header::CONTENT_TYPE},
    serde::Deserialize,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Malformed JSON sent by the `garbage` fault.
const GARBAGE: &str = "{\"choices\": \u{1}<<<";

/// State shared by the routes of one engine.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub(super) driver: EngineDriver,
    pub(super) name: Arc<str>,
    unnamed_count: Arc<AtomicU64>,
}

impl EngineState {
    /// Creates the shared state of an engine's routes.
    pub(super) fn new(driver: EngineDriver, name: Arc<str>) -> Self {
        Self {
            driver,
            name,
            unnamed_count: Arc::default(),
        }
    }

    fn faults(&self) -> EngineFaults {
        self.driver.with(|core| core.faults().clone())
    }

    fn request_id(&self, headers: &HeaderMap) -> Arc<str> {
        let named = headers.get(REQUEST_ID_HEADER);
        if let Some(id) = named.and_then(|id| id.to_str().ok()) {
            return Arc::from(id);
        }
        let number = self.unnamed_count.fetch_add(1, Ordering::Relaxed);
        Arc::from(format!("unnamed-{number}"))
    }
}

#[derive(Debug, Deserialize)]
struct ClaimQuery {
    prompt: Arc<str>,
}

#[derive(Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

#[derive(Debug, Deserialize)]
struct ReleaseQuery {
    #[serde(default)]
    used: bool,
}

#[derive(Debug, Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    offset: u32,
}

/// Creates the router of the engine's own address.
pub(super) fn routes(state: EngineState) -> Router {
    Router::new()
        .route("/cache/events", get(cache_events))
        .route("/kv/{handle}", get(claim_kv).delete(release_kv))
        .route("/load", get(load))
        .route("/orders", post(order))
        .route("/streams", get(streams))
        .route("/streams/{id}", get(resume).delete(cancel))
        .route("/v1/completions", post(complete))
        .layer(DefaultBodyLimit::disable())
        .with_state(state)
}

async fn cache_events(
    State(state): State<EngineState>,
    Query(query): Query<EventsQuery>,
) -> Json<CacheEvents> {
    let events = |core: &mut super::EngineCore| core.cache_events(Instant::now(), query.after);
    Json(state.driver.with(events))
}

async fn cancel(State(state): State<EngineState>, Path(id): Path<Arc<str>>) -> StatusCode {
    match state.driver.cancel(&id) {
        false => StatusCode::NOT_FOUND,
        true => StatusCode::NO_CONTENT,
    }
}

async fn claim_kv(
    State(state): State<EngineState>,
    Path(handle): Path<KvHandle>,
    Query(query): Query<ClaimQuery>,
) -> Response {
    match state.driver.claim_export(handle, &query.prompt) {
        Err(ExportError::Evicted) => StatusCode::GONE.into_response(),
        Err(ExportError::Mismatch) => StatusCode::CONFLICT.into_response(),
        Ok(record) => Json(record).into_response(),
    }
}

async fn complete(State(state): State<EngineState>, headers: HeaderMap, body: Bytes) -> Response {
    let faults = state.faults();
    let id = state.request_id(&headers);
    let Some((engine_call, wants_stream)) = parse_call(&id, &body) else {
        return refuse(&EngineError {
            error: Arc::from("bad_request"),
            ran: false,
        });
    };
    let Some(mut subscription) = accept(&state, engine_call, faults.slow_accept).await else {
        return aborted_response();
    };
    if faults.close_after_read {
        return aborted_response();
    }
    let Some(view) = wait_for_answer(&mut subscription, wants_stream).await else {
        return aborted_response();
    };
    match &view.end {
        Some(RunEnd::Cancelled) => refuse(&EngineError {
            error: Arc::from("cancelled"),
            ran: true,
        }),
        Some(RunEnd::Refused(error)) => refuse(error),
        _ if faults.garbage && !wants_stream => GARBAGE.into_response(),
        Some(RunEnd::Exported(handle)) => {
            Json(state.prefill_answer(&subscription.call, *handle)).into_response()
        }
        Some(RunEnd::Finished) if !wants_stream => {
            Json(complete_answer(&subscription, &view)).into_response()
        }
        _ => stream_answer(TokenBody::new(faults, subscription, 0)),
    }
}

/// Submits a call after `delay`, even if its connection is lost in the meantime.
async fn accept(state: &EngineState, call: EngineCall, delay: Duration) -> Option<RunSubscription> {
    if delay.is_zero() {
        return Some(state.driver.submit(call));
    }
    let driver = state.driver.clone();
    driver.with(|core| core.counters.accepting += 1);
    let accepting = tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let subscription = driver.submit(call);
        driver.with(|core| core.counters.accepting -= 1);
        subscription
    });
    accepting.await.ok()
}

async fn load(State(state): State<EngineState>) -> Json<EngineLoad> {
    Json(state.driver.with(|core| core.load(Instant::now())))
}

async fn order(
    State(state): State<EngineState>,
    JsonBody(order): JsonBody<EngineOrder>,
) -> Response {
    match state.driver.order(order) {
        Err(refusal) => (StatusCode::CONFLICT, Json(refusal)).into_response(),
        Ok(()) => StatusCode::ACCEPTED.into_response(),
    }
}

async fn release_kv(
    State(state): State<EngineState>,
    Path(handle): Path<KvHandle>,
    Query(query): Query<ReleaseQuery>,
) -> StatusCode {
    let used = query.used;
    state
        .driver
        .handle(EngineEvent::KvReleased { handle, used });
    StatusCode::NO_CONTENT
}

async fn resume(
    State(state): State<EngineState>,
    Path(id): Path<Arc<str>>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    let Some(subscription) = state.driver.resume(&id) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    stream_answer(TokenBody::new(state.faults(), subscription, query.offset))
}

async fn streams(State(state): State<EngineState>) -> Json<Vec<StreamRecord>> {
    Json(state.driver.with(|core| core.streams()))
}

impl EngineState {
    fn prefill_answer(&self, call: &EngineCall, handle: KvHandle) -> CompletionChunk {
        let address = self.driver.address();
        let params = KvTransferParams {
            do_remote_decode: false,
            do_remote_prefill: true,
            remote_block_ids: Some(vec![handle]),
            remote_engine_id: Some(self.name.clone()),
            remote_host: Some(Arc::from(address.ip().to_string())),
            remote_port: Some(address.port()),
        };
        CompletionChunk {
            choices: vec![CompletionChoice::default()],
            kv_transfer_params: Some(params),
            usage: Some(usage(&call.prompt, &RunView::default())),
            ..base_answer(call)
        }
    }
}

fn base_answer(call: &EngineCall) -> CompletionChunk {
    CompletionChunk {
        id: call.id.clone(),
        model: call.model.clone(),
        object: Arc::from(COMPLETION_OBJECT),
        ..CompletionChunk::default()
    }
}

/// Parses a call; the flag tells whether the response is streamed. `None` if the body is invalid.
fn parse_call(id: &Arc<str>, body: &[u8]) -> Option<(EngineCall, bool)> {
    let call: CompletionCall = serde_json::from_slice(body).ok()?;
    let params = call.kv_transfer_params.unwrap_or_default();
    let import = match params.do_remote_prefill {
        false => None,
        true => Some(parse_import(&params)?),
    };
    let engine_call = EngineCall {
        id: id.clone(),
        import,
        keep_kv: params.do_remote_decode,
        max_tokens: call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        model: call.model,
        priority: call.priority,
        prompt: call.prompt,
    };
    Some((engine_call, call.stream))
}

fn parse_import(params: &KvTransferParams) -> Option<KvImport> {
    let host: IpAddr = params.remote_host.as_ref()?.parse().ok()?;
    Some(KvImport {
        address: SocketAddr::new(host, params.remote_port?),
        handle: *params.remote_block_ids.as_ref()?.first()?,
    })
}

fn refuse(error: &EngineError) -> Response {
    let status = match &*error.error {
        "bad_request" => StatusCode::BAD_REQUEST,
        "duplicate" => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(error)).into_response()
}

fn stream_answer(body: TokenBody) -> Response {
    let headers = [(CONTENT_TYPE, "text/event-stream")];
    (headers, body.into_body()).into_response()
}

/// Waits until a run has an outcome or can be streamed; `None` if the engine stops first.
async fn wait_for_answer(
    subscription: &mut RunSubscription,
    wants_stream: bool,
) -> Option<RunView> {
    let ready = |view: &RunView| view.end.is_some() || (wants_stream && view.accepted);
    let view = subscription.views.wait_for(ready).await.ok()?;
    Some(view.clone())
}

fn complete_answer(subscription: &RunSubscription, view: &RunView) -> CompletionChunk {
    let call = &subscription.call;
    CompletionChunk {
        choices: vec![CompletionChoice {
            finish_reason: Some(subscription.finish_reason(view.target)),
            index: 0,
            text: Arc::from(expected_text(&call.prompt, view.target)),
        }],
        usage: Some(usage(&call.prompt, view)),
        ..base_answer(call)
    }
}
