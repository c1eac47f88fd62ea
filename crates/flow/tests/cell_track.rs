//! An entry instance and the allocator of a cell agree on each request again after one of them lost track of it.

use {
    admit::{AdmitEvent, CellAllocator, LinkInfo, RequestKey},
    flow::{
        CellDriver, CellFrame, CellHub, CellNotice, CellSeat, GrantFrame, GrantSink, ModelRequest,
        cell_notice::CellGrant,
    },
    kernel::{InstanceId, ModelId, UpstreamId},
    route::{UpstreamInfo, UpstreamRole},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    table::{WorkRow, WorkTable},
    tokio::sync::mpsc::{self, UnboundedReceiver},
};

const DECODE: &str = "d1";
const INSTANCE: &str = "gijon-1";
const MODEL: &str = "glaze";
const PREFILL: &str = "p1";
/// Longer than the KV cache of a test's prompt takes.
const TRANSFER_TIME: Duration = Duration::from_millis(5);
const WORK: &str = "report";

/// Brings the grants to the hub, or loses them as a broken session does.
struct HubSink {
    hub: Arc<CellHub>,
    is_broken: AtomicBool,
}

impl GrantSink for HubSink {
    fn deliver(&self, model: &ModelId, key: RequestKey, grant: CellGrant) {
        if self.is_broken.load(Ordering::SeqCst) {
            return;
        }
        let frame = GrantFrame {
            grant,
            key,
            model: model.clone(),
        };
        self.hub.on_grant(&allocator(), frame);
    }
}

/// One entry instance, the allocator of one cell, and the session between them.
struct TrackWorld {
    driver: CellDriver<CellAllocator, HubSink>,
    frames: UnboundedReceiver<CellFrame>,
    hub: Arc<CellHub>,
    sink: Arc<HubSink>,
}

/// A request as its driver sees it.
struct OpenRequest {
    grants: UnboundedReceiver<CellGrant>,
    key: RequestKey,
}

impl TrackWorld {
    fn new() -> Self {
        let hub = Arc::new(CellHub::new(INSTANCE.into(), 1));
        let sink = Arc::new(HubSink {
            hub: hub.clone(),
            is_broken: AtomicBool::new(false),
        });
        let policy = CellAllocator::builder().seed(7).build();
        let driver = CellDriver::new(MODEL.into(), policy, sink.clone());
        let mut table = WorkTable::default();
        table.rows.insert(WORK.into(), row());
        table.version = 1;
        driver.on_event(AdmitEvent::Table {
            share: 1.0,
            table: Arc::new(table),
        });
        driver.on_event(AdmitEvent::Link(LinkInfo {
            bytes_per_second: 1e10,
            eviction: Duration::from_secs(30),
            kv_bytes_per_token: 1e5,
        }));
        driver.open();
        let (_, frames) = mpsc::unbounded_channel();
        let mut world = Self {
            driver,
            frames,
            hub,
            sink,
        };
        world.engine_up(PREFILL, UpstreamRole::Prefill);
        world.engine_up(DECODE, UpstreamRole::Decode);
        world.open_session();
        world
    }

    fn engine_up(&self, name: &str, role: UpstreamRole) {
        self.driver.on_event(AdmitEvent::UpstreamUp(UpstreamInfo {
            decode_base_seconds: 0.005,
            decode_places: 4,
            decode_slope_seconds: 0.0001,
            model: Some(MODEL.into()),
            prefill_rate: 30_000.0,
            role,
            service: "glaze-llm".into(),
            upstream: name.into(),
            zone: "gijon".into(),
        }));
    }

    fn notify(&mut self, request: &OpenRequest, notice: CellNotice) {
        self.hub.notify(&request.key, notice);
        self.pump();
    }

    /// A new session takes the place of the one before: what that one carried and had not brought is lost.
    fn open_session(&mut self) {
        let (frames, outbox) = mpsc::unbounded_channel();
        self.frames = outbox;
        let seat = CellSeat {
            allocator: allocator(),
            frames,
        };
        self.hub.seat(&MODEL.into(), seat);
        self.pump();
    }

    /// Lets the transfer on the link end.
    fn pass_transfer(&self) {
        std::thread::sleep(TRANSFER_TIME);
        self.driver.on_event(AdmitEvent::Tick);
    }

    /// Brings the frames to the allocator.
    fn pump(&mut self) {
        while let Ok(frame) = self.frames.try_recv() {
            self.driver.on_frame(Instant::now(), frame);
        }
    }

    fn set_broken(&self, is_broken: bool) {
        self.sink.is_broken.store(is_broken, Ordering::SeqCst);
    }

    fn submit(&mut self) -> OpenRequest {
        let key = self.hub.next_key();
        let request = ModelRequest {
            arrived: Instant::now(),
            max_tokens: 16,
            model: MODEL.into(),
            prompt: "a free kiln?".into(),
            run_by: None,
            stream: false,
            work: WORK.into(),
        };
        let grants = self.hub.submit(&key, &request);
        self.pump();
        OpenRequest { grants, key }
    }
}

impl OpenRequest {
    fn next_grant(&mut self) -> Option<CellGrant> {
        self.grants.try_recv().ok()
    }
}

fn allocator() -> InstanceId {
    INSTANCE.into()
}

fn decode() -> Option<CellGrant> {
    Some(CellGrant::Decode(DECODE.into()))
}

fn prefill() -> Option<CellGrant> {
    Some(CellGrant::Prefill(PREFILL.into()))
}

fn row() -> WorkRow {
    WorkRow {
        between_tokens: None,
        first_token: None,
        limit: None,
        model: Some(MODEL.into()),
        patience: Duration::from_secs(60),
        rank: 5,
        repeat: true,
        retries: 2,
        service: "glaze-llm".into(),
        waste: 0.0,
        weight: 1.0,
        work: WORK.into(),
        zones: Vec::new(),
    }
}

// Guards against a request that waits for ever, since its allocator forgot it together with the decode engine.
#[test]
fn a_request_refused_by_an_engine_that_is_gone_gets_another_place() {
    let mut world = TrackWorld::new();
    let mut request = world.submit();
    assert_eq!(request.next_grant(), prefill());
    world.notify(&request, CellNotice::PrefillDone);
    assert_eq!(request.next_grant(), decode());
    let gone: UpstreamId = DECODE.into();
    world.driver.on_event(AdmitEvent::UpstreamGone(gone));
    world.notify(&request, CellNotice::DecodeRefused);
    world.engine_up(DECODE, UpstreamRole::Decode);
    world.pump();
    assert_eq!(request.next_grant(), decode());
}

// Guards against a place of an engine that the allocator takes for free while a stream of its own runs there.
#[test]
fn a_stream_that_outlives_the_loss_of_its_engine_is_counted_again() {
    let mut world = TrackWorld::new();
    let mut request = world.submit();
    assert_eq!(request.next_grant(), prefill());
    world.notify(&request, CellNotice::PrefillDone);
    assert_eq!(request.next_grant(), decode());
    let gone: UpstreamId = DECODE.into();
    world.driver.on_event(AdmitEvent::UpstreamGone(gone));
    world.engine_up(DECODE, UpstreamRole::Decode);
    world.notify(&request, CellNotice::FirstToken);
    world.pump();
    let counts = world.driver.inspect(CellAllocator::counts);
    assert_eq!((counts.decoding, counts.places), (1, 1));
}

// Guards against a request that waits for a grant which was lost with its session.
#[test]
fn a_grant_lost_with_its_session_is_given_again() {
    let mut world = TrackWorld::new();
    world.set_broken(true);
    let mut request = world.submit();
    world.set_broken(false);
    world.open_session();
    assert_eq!(request.next_grant(), prefill());
    world.set_broken(true);
    world.notify(&request, CellNotice::PrefillDone);
    world.set_broken(false);
    world.open_session();
    world.pass_transfer();
    assert_eq!(request.next_grant(), decode());
    let counts = world.driver.inspect(CellAllocator::counts);
    assert_eq!((counts.running, counts.transferring), (1, 1));
}

// Guards against a second grant to a request that has the one that it needs.
#[test]
fn a_new_session_grants_nothing_anew() {
    let mut world = TrackWorld::new();
    let mut request = world.submit();
    assert_eq!(request.next_grant(), prefill());
    world.open_session();
    assert_eq!(request.next_grant(), None);
    world.notify(&request, CellNotice::PrefillDone);
    assert_eq!(request.next_grant(), decode());
    world.open_session();
    world.notify(&request, CellNotice::FirstToken);
    world.open_session();
    assert_eq!(request.next_grant(), None);
    let counts = world.driver.inspect(CellAllocator::counts);
    assert_eq!((counts.running, counts.decoding), (1, 1));
}
