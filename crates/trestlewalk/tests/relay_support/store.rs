//! A stand-in for the platform's store: versioned rows, conditional transactions, and a feed of changes.

use {
    axum::{
        Json, Router,
        extract::{Query, Request, State},
        http::StatusCode,
        middleware::{self, Next},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap},
        future,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::Notify, time},
};

/// The longest name of a table and the longest key, bytes.
const MAX_TEXT_BYTES: usize = 200;

type RowKey = (String, String);

/// The content at one moment.
#[derive(Clone, Debug, Default)]
struct StoreContent {
    /// Removed rows with the version of their removal, which feeds report.
    removed: BTreeMap<RowKey, u64>,
    rows: BTreeMap<RowKey, (Vec<u8>, u64)>,
    version: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    calls: HashMap<String, usize>,
    content: StoreContent,
    down: bool,
    /// How often the store came back from an older copy.
    era: u64,
    /// Answers state an earlier era, as those that were long on their way.
    states_earlier_era: bool,
    /// Changes up to this version are no longer in the history.
    forgotten: u64,
    garbled: bool,
    /// How many of the next writes are applied without an answer.
    lost_answers: usize,
    /// The most rows of one answer to a read; `None` for all.
    page_rows: Option<usize>,
    /// Calls get no answer.
    silent: bool,
    /// Delays reads of one table.
    slow: Option<(String, Duration)>,
    /// Delays all calls.
    pause: Duration,
    /// Transactions are refused.
    refuses_writes: bool,
    /// The table and key of each row that a transaction wrote.
    written: Vec<RowKey>,
}

/// An older copy of the content.
#[derive(Clone, Debug)]
pub struct StoreCopy(StoreContent);

impl StoreCopy {
    /// Takes the rows of a table out, as if they were written after the copy.
    pub fn clear_table(&mut self, table: &str) {
        self.0.rows.retain(|(of, _), _| of != table);
    }
}

/// The store. Clones share it.
#[derive(Clone, Debug)]
pub struct StoreStandIn {
    pub address: SocketAddr,
    changed: Arc<Notify>,
    started: Instant,
    state: Arc<Mutex<StoreState>>,
}

impl StoreStandIn {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            changed: Arc::new(Notify::new()),
            started: Instant::now(),
            state: Arc::default(),
        };
        let router = Router::new()
            .route("/rows-get", get(rows_get))
            .route("/rows-feed", get(rows_feed))
            .route("/rows-tx", post(rows_tx))
            .with_state(store.clone());
        let router = router.layer(middleware::from_fn_with_state(store.clone(), state_era));
        let router = router.layer(middleware::from_fn_with_state(store.clone(), hold_back));
        tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
        store
    }

    /// The store's monotonic clock.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }

    /// How often a path was called.
    pub fn calls(&self, path: &str) -> usize {
        self.state
            .lock()
            .unwrap()
            .calls
            .get(path)
            .copied()
            .unwrap_or(0)
    }

    /// Drops the history up to now: feeds from an older version get 410.
    pub fn forget(&self) {
        let mut state = self.state.lock().unwrap();
        state.content.version += 1;
        state.forgotten = state.content.version;
        drop(state);
        self.changed.notify_waiters();
    }

    /// The content now, to come back from later.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().unwrap().content.clone())
    }

    /// Comes back from an older copy. What was written since is gone, and its versions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.content = copy.0.clone();
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// States the era before this one in all answers.
    pub fn state_earlier_era(&self, earlier: bool) {
        self.state.lock().unwrap().states_earlier_era = earlier;
    }

    /// Answers reads in pages of so many rows.
    pub fn set_page_rows(&self, rows: usize) {
        self.state.lock().unwrap().page_rows = Some(rows);
    }

    /// Applies the next writes without answering them.
    pub fn lose_answers(&self, count: usize) {
        self.state.lock().unwrap().lost_answers = count;
    }

    /// Writes a row as an operator or an upstream does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_text(table, key, &value.to_string());
    }

    pub fn put_text(&self, table: &str, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.content.version += 1;
        let version = state.content.version;
        let row = (text.as_bytes().to_vec(), version);
        state.set((table.to_owned(), key.to_owned()), row);
        drop(state);
        self.changed.notify_waiters();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.content.version += 1;
        state.drop_row(&(table.to_owned(), key.to_owned()));
        drop(state);
        self.changed.notify_waiters();
    }

    /// The rows of a table with their content as text.
    pub fn rows(&self, table: &str) -> Vec<(String, String)> {
        let state = self.state.lock().unwrap();
        let rows = state.content.rows.iter().filter(|((of, _), _)| of == table);
        rows.map(|((_, key), (value, _))| {
            (key.clone(), String::from_utf8_lossy(value).into_owned())
        })
        .collect()
    }

    /// Delays reads of a table.
    pub fn set_slow(&self, table: &str, pause: Duration) {
        self.state.lock().unwrap().slow = Some((table.to_owned(), pause));
    }

    /// Delays all calls.
    pub fn set_pause(&self, pause: Duration) {
        self.state.lock().unwrap().pause = pause;
    }

    /// Leaves calls without any answer, or serves again. Calls that came before stay unanswered.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
        self.changed.notify_waiters();
    }

    /// Refuses transactions with 503, or serves them again. Reads are answered.
    pub fn refuse_writes(&self, refuses: bool) {
        self.state.lock().unwrap().refuses_writes = refuses;
    }

    /// The table and key of each row that transactions wrote, in order.
    pub fn written(&self) -> Vec<(String, String)> {
        self.state.lock().unwrap().written.clone()
    }

    /// Refuses all calls with 503, or serves again.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_waiters();
    }

    /// Answers with a body that is not JSON.
    pub fn set_garbled(&self, garbled: bool) {
        self.state.lock().unwrap().garbled = garbled;
    }

    fn enter(&self, path: &str) -> Option<Response> {
        let mut state = self.state.lock().unwrap();
        *state.calls.entry(path.to_owned()).or_default() += 1;
        if state.down {
            return Some(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        state.garbled.then(|| "<no json>".into_response())
    }
}

impl StoreState {
    fn drop_row(&mut self, key: &RowKey) {
        if self.content.rows.remove(key).is_some() {
            self.content
                .removed
                .insert(key.clone(), self.content.version);
        }
    }

    fn set(&mut self, key: RowKey, row: (Vec<u8>, u64)) {
        self.content.removed.remove(&key);
        self.content.rows.insert(key, row);
    }

    fn row(&self, key: &RowKey) -> Value {
        let (value, version) = self.content.rows.get(key).cloned().unwrap_or_default();
        json!({"Table": key.0, "part": "", "Key": key.1, "Value": STANDARD.encode(value), "Ver": version})
    }
}

/// States the era in each answer.
async fn state_era(State(store): State<StoreStandIn>, request: Request, next: Next) -> Response {
    let mut response = next.run(request).await;
    let era = {
        let state = store.state.lock().unwrap();
        state.era - u64::from(state.states_earlier_era)
    };
    response.headers_mut().insert("store-era", era.into());
    response
}

/// Delays calls, or leaves them without an answer.
async fn hold_back(State(store): State<StoreStandIn>, request: Request, next: Next) -> Response {
    let is_silent = || store.state.lock().unwrap().silent;
    if is_silent() {
        return future::pending().await;
    }
    let pause = store.state.lock().unwrap().pause;
    time::sleep(pause).await;
    let response = next.run(request).await;
    match is_silent() {
        true => future::pending().await,
        false => response,
    }
}

async fn rows_get(
    State(store): State<StoreStandIn>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    if let Some(refusal) = store.enter("/rows-get") {
        return refusal;
    }
    let slow = store.state.lock().unwrap().slow.clone();
    if let Some((table, pause)) = slow
        && table == query["Table"]
    {
        time::sleep(pause).await;
    }
    let state = store.state.lock().unwrap();
    if query.values().any(|value| value.len() > MAX_TEXT_BYTES) {
        return StatusCode::BAD_REQUEST.into_response();
    }
    let from = query.get("From").cloned().unwrap_or_default();
    let to = query.get("To").filter(|to| !to.is_empty());
    let keys = state.content.rows.keys().filter(|(table, key)| {
        *table == query["Table"] && *key >= from && to.is_none_or(|to| key < to)
    });
    let page_rows = state.page_rows.unwrap_or(usize::MAX);
    let mut rows: Vec<Value> = keys.map(|key| state.row(key)).collect();
    let has_more = rows.len() > page_rows;
    rows.truncate(page_rows);
    Json(json!({"Rows": rows, "HasMore": has_more, "Ver": state.content.version, "NowMs": store.now_ms()}))
        .into_response()
}

async fn rows_feed(
    State(store): State<StoreStandIn>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    if let Some(refusal) = store.enter("/rows-feed") {
        return refusal;
    }
    let after: u64 = query["after"].parse().unwrap();
    let wait = Duration::from_millis(query["WaitMs"].parse().unwrap());
    let end = time::Instant::now() + wait;
    loop {
        let changed = store.changed.notified();
        {
            let state = store.state.lock().unwrap();
            if after < state.forgotten || after > state.content.version {
                return StatusCode::GONE.into_response();
            }
            let newer = state
                .content
                .rows
                .iter()
                .filter(|((table, _), (_, version))| *table == query["Table"] && *version > after);
            let mut rows: Vec<Value> = newer.map(|(key, _)| state.row(key)).collect();
            let gone = state.content.removed.iter();
            let gone =
                gone.filter(|((table, _), version)| *table == query["Table"] && **version > after);
            rows.extend(gone.map(|((table, key), version)| {
                json!({"Table": table, "part": "", "Key": key, "Removed": true, "Ver": version})
            }));
            if !rows.is_empty() || time::Instant::now() >= end {
                let reply =
                    json!({"Rows": rows, "Ver": state.content.version, "NowMs": store.now_ms()});
                return Json(reply).into_response();
            }
        }
        let _ = time::timeout_at(end, changed).await;
    }
}

async fn rows_tx(State(store): State<StoreStandIn>, Json(body): Json<Value>) -> Response {
    if let Some(refusal) = store.enter("/rows-tx") {
        return refusal;
    }
    let key = |row: &Value| -> RowKey {
        (
            row["Table"].as_str().unwrap().to_owned(),
            row["Key"].as_str().unwrap().to_owned(),
        )
    };
    let mut state = store.state.lock().unwrap();
    if state.refuses_writes {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if let Some(denied) = body["SetKeys"]
        .as_array()
        .unwrap()
        .iter()
        .find(|row| ["op", "servers"].contains(&row["Table"].as_str().unwrap()))
    {
        return (StatusCode::FORBIDDEN, denied.to_string()).into_response();
    }
    let expected = body["Expected"].as_array().unwrap();
    let holds = expected.iter().all(|row| {
        let version = state
            .content
            .rows
            .get(&key(row))
            .map_or(0, |(_, version)| *version);
        row["Ver"] == version
    });
    if !holds {
        let rows: Vec<Value> = expected.iter().map(|row| state.row(&key(row))).collect();
        let reply = json!({"Rows": rows, "Ver": state.content.version, "NowMs": store.now_ms()});
        return (StatusCode::PRECONDITION_FAILED, Json(reply)).into_response();
    }
    state.content.version += 1;
    let version = state.content.version;
    for row in body["SetKeys"].as_array().unwrap() {
        let value = STANDARD.decode(row["Value"].as_str().unwrap()).unwrap();
        state.set(key(row), (value, version));
        state.written.push(key(row));
    }
    for row in body["Remove"].as_array().unwrap() {
        state.drop_row(&key(row));
    }
    if state.lost_answers > 0 {
        state.lost_answers -= 1;
        return StatusCode::BAD_GATEWAY.into_response();
    }
    Json(json!({"Ver": version, "NowMs": store.now_ms()})).into_response()
}
