//! When an allocator that has just got its cell takes the first requests.

use {
    admit::{AdmitAction, AdmitEvent, AdmitPolicy, RequestKey},
    engine::{
        CallCause, CallError, ModelEngine, PrefillReply, TokenSource,
        token_stream::TokenEvent,
        wire::{
            CacheEvents, CompletionCall, EngineLoad, EngineOrder, StreamRecord,
            engine_role::EngineRole,
        },
    },
    flow::{
        CellTable, CurrentTable, GrantSink, LoadPoller, PolicyFactory, UpstreamRegistry,
        cell_notice::CellGrant,
    },
    kernel::{ModelId, WorkerPool},
    plat::{InstanceKind, InstanceRecord, InstanceState},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    table::WorkTable,
    tokio::time,
};

const MODEL: &str = "glaze";
const INTERVAL: Duration = Duration::from_millis(5);
/// Long enough for the polls after which an engine counts as gone.
const LONG_ENOUGH: Duration = Duration::from_millis(200);
const DECODE_PORT: u16 = 1;
const PREFILL_PORT: u16 = 2;

type EventLog = Arc<Mutex<Vec<AdmitEvent>>>;

/// Engines that leave a number of their first polls without an answer.
#[derive(Clone)]
struct SilentEngines {
    left: Arc<Mutex<BTreeMap<u16, usize>>>,
}

struct NoTokens;

impl TokenSource for NoTokens {
    async fn next(&mut self) -> Result<TokenEvent, CallError> {
        silent()
    }
}

fn silent<T>() -> Result<T, CallError> {
    Err(CallError::not_run(CallCause::Silent, "no answer"))
}

impl ModelEngine for SilentEngines {
    type Tokens = NoTokens;

    async fn cache_events(&self, _: SocketAddr, _: u64) -> Result<CacheEvents, CallError> {
        silent()
    }

    async fn cancel(&self, _: SocketAddr, _: &str) -> Result<bool, CallError> {
        silent()
    }

    async fn decode(
        &self,
        _: SocketAddr,
        _: &str,
        _: &CompletionCall,
    ) -> Result<NoTokens, CallError> {
        silent()
    }

    async fn load(&self, address: SocketAddr) -> Result<EngineLoad, CallError> {
        let mut left = self.left.lock().unwrap();
        let polls = left.entry(address.port()).or_default();
        if *polls > 0 {
            *polls -= 1;
            return silent();
        }
        Ok(EngineLoad {
            decode_base_seconds: 0.02,
            decode_places: 20,
            decode_slope_seconds: 0.001,
            decode_used: 0,
            eviction_ms: 500,
            kv_bytes_per_token: 35_136.0,
            leaving: false,
            link_bytes_per_second: 1e9,
            models: vec![MODEL.into()],
            prefill_rate: 10_000.0,
            prefill_tokens: 0,
            role: match address.port() {
                DECODE_PORT => EngineRole::Decode,
                _ => EngineRole::Prefill,
            },
            taken_ms_ago: 0,
        })
    }

    async fn order(&self, _: SocketAddr, _: &EngineOrder) -> Result<(), CallError> {
        silent()
    }

    async fn prefill(
        &self,
        _: SocketAddr,
        _: &str,
        _: &CompletionCall,
    ) -> Result<PrefillReply, CallError> {
        silent()
    }

    async fn resume(&self, _: SocketAddr, _: &str, _: u32) -> Result<NoTokens, CallError> {
        silent()
    }

    async fn streams(&self, _: SocketAddr) -> Result<Vec<StreamRecord>, CallError> {
        silent()
    }
}

/// Records the events of the allocator.
struct RecordingPolicy(EventLog);

impl AdmitPolicy for RecordingPolicy {
    fn on_event(&mut self, _: std::time::Instant, event: AdmitEvent, _: &mut Vec<AdmitAction>) {
        self.0.lock().unwrap().push(event);
    }
}

struct RecordingFactory(EventLog);

impl PolicyFactory for RecordingFactory {
    type Policy = RecordingPolicy;

    fn make(&self, _: &ModelId) -> RecordingPolicy {
        RecordingPolicy(self.0.clone())
    }

    fn table_for_cell(&self, _: &ModelId, table: &WorkTable) -> WorkTable {
        table.clone()
    }
}

struct NoSink;

impl GrantSink for NoSink {
    fn deliver(&self, _: &ModelId, _: RequestKey, _: CellGrant) {}
}

fn record(name: &str, kind: InstanceKind, port: u16) -> InstanceRecord {
    InstanceRecord {
        address: format!("127.0.0.1:{port}").into(),
        checks_fence: true,
        kind,
        model: Some(MODEL.into()),
        name: name.into(),
        service: Some("llm".into()),
        state: InstanceState::Live,
        zone: "gijon".into(),
    }
}

/// Polls engines that leave `decode` and `prefill` polls without an answer, while a request waits from the start, and
/// returns the events of the allocator.
async fn poll(decode: usize, prefill: usize) -> Vec<AdmitEvent> {
    let log = EventLog::default();
    let factory = RecordingFactory(log.clone());
    let current = Arc::new(CurrentTable::new());
    let cells = CellTable::new(current, factory, WorkerPool::new(), Arc::new(NoSink));
    let cells = Arc::new(cells);
    let key = RequestKey {
        incarnation: 1,
        instance: "gijon-1".into(),
        serial: 1,
    };
    cells
        .cell(&MODEL.into())
        .on_request(AdmitEvent::FirstToken { key });
    let registry = UpstreamRegistry::new(vec![
        record("d1", InstanceKind::Decode, DECODE_PORT),
        record("p1", InstanceKind::Prefill, PREFILL_PORT),
    ]);
    let left = [(DECODE_PORT, decode), (PREFILL_PORT, prefill)];
    let poller = LoadPoller::builder()
        .registry(Arc::new(registry))
        .cells(cells)
        .engine(SilentEngines {
            left: Arc::new(Mutex::new(left.into())),
        })
        .interval(INTERVAL)
        .zone("gijon".into())
        .build();
    let polling = time::timeout(LONG_ENOUGH, poller.run()).await;
    assert!(polling.is_err());
    log.lock().unwrap().clone()
}

/// How many engines the allocator knew when it got the request; `None` when it did not get it.
fn known_engines(events: &[AdmitEvent]) -> Option<usize> {
    let is_request = |event: &AdmitEvent| matches!(event, AdmitEvent::FirstToken { .. });
    let at = events.iter().position(is_request)?;
    let is_up = |event: &&AdmitEvent| matches!(event, AdmitEvent::UpstreamUp(_));
    Some(events[..at].iter().filter(is_up).count())
}

// Guards against a refusal for want of engines by an allocator whose first polls got no answer.
#[tokio::test]
async fn an_allocator_takes_requests_once_an_engine_of_each_stage_has_answered() {
    for (decode, prefill) in [(0, 0), (2, 2), (0, 2), (2, 0)] {
        let events = poll(decode, prefill).await;
        assert_eq!(known_engines(&events), Some(2), "{decode} {prefill}");
    }
}

#[tokio::test]
async fn an_allocator_takes_requests_once_silent_engines_count_as_gone() {
    let events = poll(usize::MAX, usize::MAX).await;
    assert_eq!(known_engines(&events), Some(0));
    let events = poll(0, usize::MAX).await;
    assert_eq!(known_engines(&events), Some(1));
}
