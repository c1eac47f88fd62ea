//! The HTTP client of the platform: protocol, connection reuse, timeouts, and writes that are never repeated.

use {
    axum::{
        Json, Router,
        extract::{ConnectInfo, Path, Query, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    bytes::Bytes,
    plat::{
        HttpPlatform, InstanceList, InstanceRecord, ObjectStore, PlatError, RowStore, StoredRow,
        Transaction, TransactionReply,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::net::TcpListener,
};

#[derive(Default)]
struct ServerState {
    objects: BTreeMap<String, Bytes>,
    peers: BTreeSet<SocketAddr>,
    status: Option<u16>,
    writes: u32,
}

type Shared = Arc<Mutex<ServerState>>;

async fn read_row(
    State(shared): State<Shared>,
    ConnectInfo(peer): ConnectInfo<SocketAddr>,
    Path(key): Path<String>,
) -> Response {
    let mut state = shared.lock().unwrap();
    state.peers.insert(peer);
    if let Some(status) = state.status {
        return StatusCode::from_u16(status).unwrap().into_response();
    }
    match key.as_str() {
        "work/ü %/?" => Json(stored(&key)).into_response(),
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn scan_rows(Query(query): Query<BTreeMap<String, String>>) -> Response {
    Json(vec![stored(&query["prefix"])]).into_response()
}

async fn write_rows(
    State(shared): State<Shared>,
    Json(transaction): Json<Transaction>,
) -> Response {
    shared.lock().unwrap().writes += 1;
    let key = &transaction.writes[0].key;
    match &**key {
        "busy" => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        "conflict" => Json(TransactionReply::Conflict {
            rows: vec![stored(key)],
        })
        .into_response(),
        "garbled" => "{".into_response(),
        "refused" => StatusCode::BAD_REQUEST.into_response(),
        "slow" => std::future::pending().await,
        _ => Json(TransactionReply::Committed).into_response(),
    }
}

async fn read_object(State(shared): State<Shared>, Path(key): Path<String>) -> Response {
    match shared.lock().unwrap().objects.get(&key) {
        Some(content) => content.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(
    State(shared): State<Shared>,
    Path(key): Path<String>,
    content: Bytes,
) -> StatusCode {
    shared.lock().unwrap().objects.insert(key, content);
    StatusCode::NO_CONTENT
}

async fn list_instances() -> Json<Vec<InstanceRecord>> {
    let text = r#"[{"address":"127.0.0.1:1","kind":"entry","name":"entry-1","state":"live","zone":"gijon"}]"#;
    Json(serde_json::from_str(text).unwrap())
}

fn stored(key: &str) -> StoredRow {
    StoredRow {
        key: key.into(),
        value: "{}".into(),
        version: 3,
    }
}

fn write(key: &str) -> Transaction {
    Transaction {
        conditions: Vec::new(),
        writes: vec![plat::RowWrite {
            key: key.into(),
            value: None,
        }],
    }
}

async fn start() -> (Shared, HttpPlatform) {
    let (shared, address) = start_at().await;
    let platform = HttpPlatform::builder().address(address).build().unwrap();
    (shared, platform)
}

async fn start_at() -> (Shared, String) {
    let shared = Shared::default();
    let router = Router::new()
        .route("/rows/{key}", get(read_row))
        .route("/rows", get(scan_rows))
        .route("/tx", post(write_rows))
        .route("/objects/{key}", get(read_object).put(write_object))
        .route("/instances", get(list_instances))
        .with_state(shared.clone())
        .into_make_service_with_connect_info::<SocketAddr>();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("http://{}/", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, router).await });
    (shared, address)
}

#[tokio::test]
async fn keys_cross_whole_and_missing_rows_are_none() {
    let (_, platform) = start().await;
    let key = "work/ü %/?";
    assert_eq!(platform.get(key).await.unwrap(), Some(stored(key)));
    assert_eq!(platform.get("work/none").await.unwrap(), None);
    let prefix = "work/&=#";
    assert_eq!(platform.scan(prefix).await.unwrap(), [stored(prefix)]);
}

#[tokio::test]
async fn transactions_and_their_outcomes_cross() {
    let (_, platform) = start().await;
    let reply = platform.commit(&write("fine")).await.unwrap();
    assert_eq!(reply, TransactionReply::Committed);
    let reply = platform.commit(&write("conflict")).await.unwrap();
    let rows = vec![stored("conflict")];
    assert_eq!(reply, TransactionReply::Conflict { rows });
}

#[tokio::test]
async fn a_write_is_sent_once_whatever_becomes_of_it() {
    let (shared, platform) = start().await;
    let quick = Duration::from_millis(200);
    let address = "http://127.0.0.1:1";
    for (key, open) in [("busy", true), ("garbled", true), ("refused", false)] {
        let error = platform.commit(&write(key)).await.unwrap_err();
        assert_eq!(error.is_outcome_unknown(), open, "{key}: {error}");
    }
    assert_eq!(shared.lock().unwrap().writes, 3);
    let platform = HttpPlatform::builder().address(address).timeout(quick);
    let error = platform.build().unwrap().commit(&write("fine")).await;
    assert!(matches!(error, Err(PlatError::Unreachable { .. })));
}

#[tokio::test]
async fn a_call_that_gets_no_answer_ends_with_its_timeout() {
    let (shared, address) = start_at().await;
    let builder = HttpPlatform::builder().address(address);
    let platform = builder.timeout(Duration::from_millis(50)).build().unwrap();
    let error = platform.commit(&write("slow")).await.unwrap_err();
    assert!(matches!(error, PlatError::Unreachable { .. }), "{error}");
    assert_eq!(shared.lock().unwrap().writes, 1);
}

#[tokio::test]
async fn calls_share_a_connection() {
    let (shared, platform) = start().await;
    for _ in 0..20 {
        platform.get("work/none").await.unwrap();
    }
    assert_eq!(shared.lock().unwrap().peers.len(), 1);
}

#[tokio::test]
async fn a_platform_that_is_down_is_unreachable() {
    let (shared, platform) = start().await;
    shared.lock().unwrap().status = Some(503);
    let error = platform.get("work/none").await.unwrap_err();
    assert!(matches!(error, PlatError::Unreachable { .. }));
    shared.lock().unwrap().status = Some(403);
    let error = platform.get("work/none").await.unwrap_err();
    assert!(matches!(error, PlatError::Refused { status: 403 }));
}

#[tokio::test]
async fn objects_and_instances_cross() {
    let (_, platform) = start().await;
    assert_eq!(platform.get_object("a/b c").await.unwrap(), None);
    let content = Bytes::from_static(b"\x00\xff");
    platform.put_object("a/b c", content.clone()).await.unwrap();
    assert_eq!(platform.get_object("a/b c").await.unwrap(), Some(content));
    let instances = platform.instances().await.unwrap();
    assert_eq!(&*instances[0].name, "entry-1");
}

#[tokio::test]
async fn an_address_that_is_no_url_is_said() {
    for address in [
        "",
        "127.0.0.1",
        "https://127.0.0.1:1",
        "http://127.0.0.1:1/path",
    ] {
        let error = HttpPlatform::builder()
            .address(address)
            .build()
            .unwrap_err();
        assert!(
            matches!(error, PlatError::AddressInvalid { .. }),
            "{address}"
        );
    }
}
