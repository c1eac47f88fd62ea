//! Tests of an engine's stand-in over HTTP.

mod support;

use {
    bytes::Bytes,
    engine::wire::{
        CompletionCall, CompletionChunk, EngineError, EngineLoad, KvTransferParams, StreamRecord,
        StreamState, engine_role::EngineRole,
    },
    fake::{
        EngineFaults, EngineSettings, StandInEngine, expected_answer::expected_text,
        expected_token, prompt_tokens,
    },
    http::{Method, StatusCode},
    http_body_util::BodyExt,
    std::{sync::Arc, time::Duration},
    support::{TestClient, read_body},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

const PROMPT: &str = "the log of kiln 4: cone 6 reached at noon, held for twenty minutes";

/// Longer than any wait of these tests takes.
const LIMIT: Duration = Duration::from_secs(30);

const POLL: Duration = Duration::from_millis(5);

/// Longer than any test runs.
const LONG: Duration = Duration::from_secs(3600);

async fn start(role: EngineRole) -> (StandInEngine, TestClient) {
    let settings = EngineSettings::builder()
        .eviction(LONG)
        .finished_keep(LONG)
        .role(role)
        .build();
    start_with(settings).await
}

async fn start_with(settings: EngineSettings) -> (StandInEngine, TestClient) {
    let engine = StandInEngine::start(settings).await.unwrap();
    let client = TestClient::new(engine.address());
    (engine, client)
}

fn call(prompt: &str, params: Option<KvTransferParams>) -> CompletionCall {
    CompletionCall {
        kv_transfer_params: params,
        max_tokens: Some(8),
        model: Arc::from("glaze"),
        prompt: Arc::from(prompt),
        stream: true,
        ..CompletionCall::default()
    }
}

fn keep_kv() -> Option<KvTransferParams> {
    Some(KvTransferParams {
        do_remote_decode: true,
        ..KvTransferParams::default()
    })
}

async fn complete(
    client: &TestClient,
    id: &str,
    call: &CompletionCall,
) -> (StatusCode, Result<Bytes, hyper::Error>) {
    let body = serde_json::to_vec(call).unwrap();
    let headers = [("x-request-id", id)];
    let response = client
        .send(Method::POST, "/v1/completions", &headers, body)
        .await
        .unwrap();
    (response.status(), read_body(response).await)
}

async fn prefill(client: &TestClient, id: &str, prompt: &str) -> KvTransferParams {
    let (status, body) = complete(client, id, &call(prompt, keep_kv())).await;
    assert_eq!(status, StatusCode::OK);
    let chunk: CompletionChunk = serde_json::from_slice(&body.unwrap()).unwrap();
    chunk.kv_transfer_params.unwrap()
}

fn read_events(body: &Bytes) -> (Vec<CompletionChunk>, bool) {
    let text = std::str::from_utf8(body).unwrap();
    let mut chunks = Vec::new();
    for event in text.split("\n\n") {
        let Some(data) = event.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return (chunks, true);
        }
        chunks.push(serde_json::from_str(data).unwrap());
    }
    (chunks, false)
}

fn text(chunks: &[CompletionChunk]) -> String {
    chunks.iter().map(|chunk| &*chunk.choices[0].text).collect()
}

#[tokio::test]
async fn a_prompt_is_read_at_one_engine_and_answered_by_another() {
    let (prefill_engine, prefill_client) = start(EngineRole::Prefill).await;
    let (decode_engine, decode_client) = start(EngineRole::Decode).await;
    let params = prefill(&prefill_client, "r1", PROMPT).await;
    let (status, body) = complete(&decode_client, "r1", &call(PROMPT, Some(params))).await;
    assert_eq!(status, StatusCode::OK);
    let (chunks, done) = read_events(&body.unwrap());
    assert!(done);
    assert_eq!(text(&chunks), expected_text(PROMPT, 8));
    let last = chunks.last().unwrap();
    assert_eq!(last.choices[0].finish_reason.as_deref(), Some("length"));
    let usage = last.usage.clone().unwrap();
    assert_eq!(usage.completion_tokens, 8);
    assert_eq!(usage.prompt_tokens, prompt_tokens(PROMPT));
    assert_eq!(prefill_engine.counters().prefill_runs["r1"], 1);
    assert_eq!(decode_engine.counters().decode_runs["r1"], 1);
    assert_eq!(decode_engine.counters().prompt_tokens_read, 0);
    prefill_engine.close().await;
    decode_engine.close().await;
}

#[tokio::test]
async fn a_released_kv_cache_counts_as_evicted() {
    let (prefill_engine, prefill_client) = start(EngineRole::Prefill).await;
    let (decode_engine, decode_client) = start(EngineRole::Decode).await;
    let params = prefill(&prefill_client, "r1", PROMPT).await;
    let (status, _) = prefill_client.call(Method::DELETE, "/streams/r1", "").await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    let (status, body) = complete(&decode_client, "r1", &call(PROMPT, Some(params))).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let error: EngineError = serde_json::from_slice(&body.unwrap()).unwrap();
    assert_eq!(&*error.error, "evicted");
    assert!(!error.ran);
    assert_eq!(decode_engine.counters().places_used, 0);
    let read = u64::from(prompt_tokens(PROMPT));
    assert_eq!(prefill_engine.counters().prompt_tokens_wasted, read);
    prefill_engine.close().await;
    decode_engine.close().await;
}

#[tokio::test]
async fn a_kv_cache_of_another_prompt_is_refused() {
    let (prefill_engine, prefill_client) = start(EngineRole::Prefill).await;
    let (decode_engine, decode_client) = start(EngineRole::Decode).await;
    let params = prefill(&prefill_client, "r1", PROMPT).await;
    let (status, _) = complete(&decode_client, "r1", &call("another", Some(params))).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert_eq!(prefill_engine.counters().kv_mismatches, 1);
    prefill_engine.close().await;
    decode_engine.close().await;
}

#[tokio::test]
async fn a_call_without_a_kv_cache_reads_the_prompt_itself() {
    let (engine, client) = start(EngineRole::Decode).await;
    let whole = CompletionCall {
        stream: false,
        ..call(PROMPT, None)
    };
    let (_, body) = complete(&client, "r1", &whole).await;
    let answer: CompletionChunk = serde_json::from_slice(&body.unwrap()).unwrap();
    assert_eq!(&*answer.choices[0].text, expected_text(PROMPT, 8));
    let read = u64::from(prompt_tokens(PROMPT));
    assert_eq!(engine.counters().prompt_tokens_read, read);
    engine.close().await;
}

#[tokio::test]
async fn a_cut_stream_is_resumed_without_a_gap_or_a_repeat() {
    let (engine, client) = start(EngineRole::Decode).await;
    engine.set_faults(EngineFaults {
        stop_after_tokens: Some(3),
        ..EngineFaults::default()
    });
    let (_, body) = complete(&client, "r1", &call(PROMPT, None)).await;
    assert!(body.is_err());
    engine.set_faults(EngineFaults::default());
    let (status, rest) = client.call(Method::GET, "/streams/r1?offset=3", "").await;
    assert_eq!(status, StatusCode::OK);
    let (chunks, done) = read_events(&rest);
    assert!(done);
    let expected: String = (3..8)
        .map(|index| expected_token(PROMPT, index).to_string())
        .collect();
    assert_eq!(text(&chunks), expected);
    assert_eq!(chunks[0].token_index, Some(3));
    engine.close().await;
}

#[tokio::test]
async fn a_stream_outlives_its_connection_until_it_is_cancelled() {
    let settings = EngineSettings::builder().decode_base(LONG).build();
    let (engine, client) = start_with(settings).await;
    let body = serde_json::to_vec(&call(PROMPT, None)).unwrap();
    let headers = [("x-request-id", "r1")];
    let response = client
        .send(Method::POST, "/v1/completions", &headers, body)
        .await
        .unwrap();
    drop(response);
    let (status, body) = complete(&client, "r1", &call(PROMPT, None)).await;
    assert_eq!(status, StatusCode::CONFLICT);
    let error: EngineError = serde_json::from_slice(&body.unwrap()).unwrap();
    assert!(!error.ran);
    let streams: Vec<StreamRecord> = client.get("/streams").await;
    assert_eq!(streams.len(), 1);
    let (status, _) = client.call(Method::DELETE, "/streams/r1", "").await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    assert_eq!(engine.counters().places_used, 0);
    let (status, _) = client.call(Method::DELETE, "/streams/r1", "").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    engine.close().await;
}

#[tokio::test]
async fn an_engine_that_frees_at_once_needs_no_cancel() {
    let settings = EngineSettings::builder()
        .decode_base(LONG)
        .keep_on_disconnect(false)
        .build();
    let (engine, client) = start_with(settings).await;
    let body = serde_json::to_vec(&call(PROMPT, None)).unwrap();
    let response = client
        .send(Method::POST, "/v1/completions", &[], body)
        .await
        .unwrap();
    assert_eq!(engine.counters().places_used, 1);
    drop(response);
    while engine.counters().cancelled == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(engine.counters().places_used, 0);
    engine.close().await;
}

#[tokio::test]
async fn a_stalled_transfer_holds_its_place_until_it_is_cancelled() {
    let (prefill_engine, prefill_client) = start(EngineRole::Prefill).await;
    let (decode_engine, decode_client) = start(EngineRole::Decode).await;
    decode_engine.set_faults(EngineFaults {
        stall_transfers: true,
        ..EngineFaults::default()
    });
    let params = prefill(&prefill_client, "r1", PROMPT).await;
    let body = serde_json::to_vec(&call(PROMPT, Some(params))).unwrap();
    let headers = [("x-request-id", "r1")];
    let mut response = decode_client
        .send(Method::POST, "/v1/completions", &headers, body)
        .await
        .unwrap();
    let streams: Vec<StreamRecord> = decode_client.get("/streams").await;
    assert_eq!(streams[0].state, StreamState::Transferring);
    decode_client.call(Method::DELETE, "/streams/r1", "").await;
    let frame = response.body_mut().frame().await.unwrap().unwrap();
    let (status, _) = (response.status(), frame);
    assert_eq!(status, StatusCode::OK);
    assert_eq!(decode_engine.counters().places_used, 0);
    prefill_engine.close().await;
    decode_engine.close().await;
}

#[tokio::test]
async fn faults_show_in_the_answers() {
    let (engine, client) = start(EngineRole::Decode).await;
    let admin = TestClient::new(engine.admin_address());
    let set = async |faults: &str| {
        let (status, _) = admin.call(Method::POST, "/admin/faults", faults).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
    };
    set(r#"{"extra_tokens":2}"#).await;
    let (_, body) = complete(&client, "extra", &call(PROMPT, None)).await;
    assert_eq!(read_events(&body.unwrap()).0.len(), 10);
    set(r#"{"duplicate_chunks":true}"#).await;
    let (_, body) = complete(&client, "twice", &call(PROMPT, None)).await;
    let (chunks, _) = read_events(&body.unwrap());
    assert_eq!(chunks.len(), 16);
    assert_eq!(chunks[0], chunks[1]);
    set(r#"{"garbage":true}"#).await;
    let (_, body) = complete(&client, "garbage", &call(PROMPT, None)).await;
    let body = body.unwrap();
    let data = body.strip_prefix(b"data: ").unwrap();
    assert!(serde_json::from_slice::<CompletionChunk>(data).is_err());
    for (faults, error) in [
        (r#"{"refuse":true}"#, "full"),
        (r#"{"leaving":true}"#, "leaving"),
    ] {
        set(faults).await;
        let (status, body) = complete(&client, error, &call(PROMPT, None)).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        let refusal: EngineError = serde_json::from_slice(&body.unwrap()).unwrap();
        assert_eq!(&*refusal.error, error);
        assert!(!refusal.ran);
    }
    engine.close().await;
}

#[tokio::test]
async fn a_call_that_is_read_and_closed_runs() {
    let (engine, client) = start(EngineRole::Decode).await;
    engine.set_faults(EngineFaults {
        close_after_read: true,
        ..EngineFaults::default()
    });
    let body = serde_json::to_vec(&call(PROMPT, None)).unwrap();
    let headers = [("x-request-id", "r1")];
    let answer = client.send(Method::POST, "/v1/completions", &headers, body);
    assert!(answer.await.is_err());
    assert_eq!(engine.counters().decode_runs["r1"], 1);
    engine.close().await;
}

/// Sends a call on a connection that the engine has already accepted. The last step does not yield, so that the engine,
/// which shares this thread, has not read the call yet.
async fn write_call(engine: &StandInEngine, id: &str) -> TcpStream {
    let mut connection = TcpStream::connect(engine.address()).await.unwrap();
    let probe = b"GET /streams HTTP/1.1\r\nhost: engine\r\n\r\n";
    connection.write_all(probe).await.unwrap();
    assert!(connection.read(&mut [0; 1024]).await.unwrap() > 0);
    let body = serde_json::to_string(&call(PROMPT, None)).unwrap();
    let length = body.len();
    let head = format!("host: engine\r\nx-request-id: {id}\r\ncontent-length: {length}");
    let text = format!("POST /v1/completions HTTP/1.1\r\n{head}\r\n\r\n{body}");
    assert_eq!(connection.try_write(text.as_bytes()).unwrap(), text.len());
    connection
}

/// Ends a connection without yielding, and waits until the engine has closed it too.
async fn close(mut connection: TcpStream) {
    connection.shutdown().await.unwrap();
    connection.read_to_end(&mut Vec::new()).await.unwrap();
}

async fn start_slow() -> (StandInEngine, TestClient) {
    let settings = EngineSettings::builder()
        .decode_base(LONG)
        .keep_on_disconnect(true)
        .build();
    let (engine, client) = start_with(settings).await;
    engine.set_faults(EngineFaults {
        slow_accept: Duration::from_secs(2),
        ..EngineFaults::default()
    });
    (engine, client)
}

async fn wait_accepting(engine: &StandInEngine, count: u64) {
    let reached = async {
        while engine.counters().accepting != count {
            sleep(POLL).await;
        }
    };
    timeout(LIMIT, reached).await.unwrap();
}

// Guards against a count that forgets a call whose connection closes, or that outlasts its acceptance.
#[tokio::test]
async fn a_call_that_is_held_back_is_accepted_after_its_connection_closed() {
    let (engine, client) = start_slow().await;
    let connection = write_call(&engine, "r1").await;
    wait_accepting(&engine, 1).await;
    close(connection).await;
    assert_eq!(engine.counters().accepting, 1);
    assert!(engine.counters().decode_runs.is_empty());
    wait_accepting(&engine, 0).await;
    assert_eq!(engine.counters().decode_runs["r1"], 1);
    assert_eq!(engine.counters().places_without_connection, 1);
    let streams: Vec<StreamRecord> = client.get("/streams").await;
    assert_eq!(streams.len(), 1);
    engine.close().await;
}

// Guards against taking a call that was written for one that the engine has: it drops what it reads together with the
// close.
#[tokio::test]
async fn a_call_that_is_read_together_with_its_close_is_never_held_back() {
    let (engine, client) = start_slow().await;
    close(write_call(&engine, "r1").await).await;
    assert_eq!(engine.counters().accepting, 0);
    assert!(engine.counters().decode_runs.is_empty());
    let streams: Vec<StreamRecord> = client.get("/streams").await;
    assert!(streams.is_empty());
    engine.close().await;
}

#[tokio::test]
async fn orders_are_checked_and_a_loaded_model_shows() {
    let settings = EngineSettings::builder()
        .load_lag(Duration::ZERO)
        .model_bytes(1.0)
        .models(vec![Arc::from("glaze")])
        .build();
    let (engine, client) = start_with(settings).await;
    let load = r#"{"fence":7,"order":"load_model","model":"carta"}"#;
    let (status, _) = client.call(Method::POST, "/orders", load).await;
    assert_eq!(status, StatusCode::ACCEPTED);
    let old = r#"{"fence":6,"order":"change_role","role":"prefill"}"#;
    let (status, body) = client.call(Method::POST, "/orders", old).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(body, r#"{"seen":7}"#);
    let mut report: EngineLoad = client.get("/load").await;
    while report.models.len() < 2 {
        report = client.get("/load").await;
    }
    assert_eq!(report.role, EngineRole::Decode);
    let orders = engine.counters().orders;
    assert_eq!(orders.len(), 2);
    assert!(orders[0].accepted && !orders[1].accepted);
    engine.close().await;
}

#[tokio::test]
async fn an_evicted_kv_cache_is_gone_for_the_decode_engine() {
    let settings = EngineSettings::builder()
        .eviction(Duration::ZERO)
        .role(EngineRole::Prefill)
        .build();
    let (prefill_engine, prefill_client) = start_with(settings).await;
    let (decode_engine, decode_client) = start(EngineRole::Decode).await;
    let params = prefill(&prefill_client, "r1", PROMPT).await;
    let (status, body) = complete(&decode_client, "r1", &call(PROMPT, Some(params))).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let error: EngineError = serde_json::from_slice(&body.unwrap()).unwrap();
    assert_eq!(&*error.error, "evicted");
    assert_eq!(prefill_engine.counters().evicted, 1);
    prefill_engine.close().await;
    decode_engine.close().await;
}

#[tokio::test]
async fn a_prefill_engine_that_is_gone_leaves_no_place_held() {
    let (prefill_engine, prefill_client) = start(EngineRole::Prefill).await;
    let (decode_engine, decode_client) = start(EngineRole::Decode).await;
    let params = prefill(&prefill_client, "r1", PROMPT).await;
    prefill_engine.close().await;
    let (_, body) = complete(&decode_client, "r1", &call(PROMPT, Some(params))).await;
    let error: EngineError = serde_json::from_slice(&body.unwrap()).unwrap();
    assert_eq!(&*error.error, "kv_unreachable");
    assert!(!error.ran);
    assert_eq!(decode_engine.counters().places_used, 0);
    decode_engine.close().await;
}

#[tokio::test]
async fn an_engine_starts_again_at_its_old_address_with_nothing_held() {
    let settings = EngineSettings::builder().decode_base(LONG).build();
    let (engine, client) = start_with(settings.clone()).await;
    let body = serde_json::to_vec(&call(PROMPT, None)).unwrap();
    let response = client
        .send(Method::POST, "/v1/completions", &[], body)
        .await
        .unwrap();
    let address = engine.address();
    engine.close().await;
    assert!(read_body(response).await.is_err());
    let again = EngineSettings {
        address,
        ..settings
    };
    let (engine, client) = start_with(again).await;
    assert_eq!(engine.address(), address);
    let streams: Vec<StreamRecord> = client.get("/streams").await;
    assert!(streams.is_empty());
    engine.close().await;
}

#[tokio::test]
async fn dropped_connections_leave_the_streams_running() {
    let (engine, client) = start_with(EngineSettings::builder().decode_base(LONG).build()).await;
    let body = serde_json::to_vec(&call(PROMPT, None)).unwrap();
    let response = client
        .send(Method::POST, "/v1/completions", &[], body)
        .await
        .unwrap();
    engine.set_faults(EngineFaults {
        drop_connections: true,
        ..EngineFaults::default()
    });
    assert!(read_body(response).await.is_err());
    let refused = client.send(Method::GET, "/streams", &[], "").await;
    assert!(refused.is_err());
    engine.set_faults(EngineFaults::default());
    let streams: Vec<StreamRecord> = client.get("/streams").await;
    assert_eq!(streams.len(), 1);
    engine.close().await;
}
