//! One entry instance, the allocator of one cell, and the session between them.

use {
    admit::{AdmitEvent, CellAllocator, LinkInfo, RequestKey},
    flow::{
        CellDriver, CellFrame, CellHub, CellNotice, CellRoute, GrantFrame, GrantSink, ModelRequest,
        UpstreamRegistry, cell_notice::CellGrant,
    },
    kernel::{InstanceId, ModelId},
    route::{LoadReport, UpstreamInfo, UpstreamRole},
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

pub(crate) const DECODE: &str = "d1";
const INSTANCE: &str = "gijon-1";
const MODEL: &str = "glaze";
pub(crate) const PREFILL: &str = "p1";
/// Longer than the transfer of the test prompt's KV cache.
const TRANSFER_TIME: Duration = Duration::from_millis(5);
const WORK: &str = "report";

/// Delivers grants to the hub, or drops them like a broken session.
pub(crate) struct HubSink {
    hub: Arc<CellHub>,
    is_broken: AtomicBool,
}

impl GrantSink for HubSink {
    fn deliver(&self, model: &ModelId, key: RequestKey, grant: CellGrant) {
        if self.is_broken.load(Ordering::SeqCst) {
            return;
        }
        let frame = GrantFrame {
            address: None,
            grant,
            key,
            model: model.clone(),
        };
        self.hub.on_grant(&allocator(), frame);
    }
}

/// One entry instance, the allocator of one cell, and the session between them.
pub(crate) struct TrackWorld {
    pub(crate) driver: CellDriver<CellAllocator, HubSink>,
    frames: UnboundedReceiver<CellFrame>,
    pub(crate) hub: Arc<CellHub>,
    sink: Arc<HubSink>,
}

/// A request as seen by its driver.
pub(crate) struct OpenRequest {
    grants: UnboundedReceiver<CellGrant>,
    pub(crate) key: RequestKey,
}

impl TrackWorld {
    pub(crate) fn new() -> Self {
        let registry = Arc::new(UpstreamRegistry::new(Vec::new()));
        let hub = Arc::new(CellHub::new(INSTANCE.into(), 1, registry));
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

    pub(crate) fn engine_up(&self, name: &str, role: UpstreamRole) {
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

    pub(crate) fn notify(&mut self, request: &OpenRequest, notice: CellNotice) {
        self.hub.notify(&request.key, notice);
        self.pump();
    }

    /// Replaces the session. Undelivered messages of the previous one are lost.
    pub(crate) fn open_session(&mut self) {
        let (frames, outbox) = mpsc::unbounded_channel();
        self.frames = outbox;
        let route = CellRoute {
            allocator: allocator(),
            frames,
        };
        self.hub.set_route(&MODEL.into(), route);
        self.pump();
    }

    /// Waits until the current transfer has ended.
    pub(crate) fn finish_transfer(&self) {
        std::thread::sleep(TRANSFER_TIME);
        self.driver.on_event(AdmitEvent::Tick);
    }

    /// Delivers the frames to the allocator.
    pub(crate) fn pump(&mut self) {
        while let Ok(frame) = self.frames.try_recv() {
            self.driver.on_frame(Instant::now(), frame);
        }
    }

    /// Sends a load report of an engine without work.
    pub(crate) fn report_load(&self, name: &str) {
        self.report_load_of(name, Instant::now());
    }

    /// Sends a load report that was taken at a given time.
    pub(crate) fn report_load_of(&self, name: &str, taken: Instant) {
        self.driver.on_event(AdmitEvent::Load(LoadReport {
            decode_used: 0,
            leaving: false,
            prefill_tokens: 0,
            taken,
            upstream: name.into(),
        }));
    }

    pub(crate) fn set_broken(&self, is_broken: bool) {
        self.sink.is_broken.store(is_broken, Ordering::SeqCst);
    }

    /// Submits a request that gets its decode place.
    pub(crate) fn submit_and_place(&mut self) -> OpenRequest {
        let mut request = self.submit();
        assert_eq!(request.next_grant(), prefill());
        self.notify(&request, prefill_done());
        assert_eq!(request.next_grant(), decode());
        request
    }

    pub(crate) fn submit(&mut self) -> OpenRequest {
        let key = self.hub.next_key();
        self.submit_as(key)
    }

    /// Submits a request with a given key.
    pub(crate) fn submit_as(&mut self, key: RequestKey) -> OpenRequest {
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
    pub(crate) fn next_grant(&mut self) -> Option<CellGrant> {
        self.grants.try_recv().ok()
    }
}

fn allocator() -> InstanceId {
    INSTANCE.into()
}

pub(crate) fn decode() -> Option<CellGrant> {
    Some(CellGrant::Decode(DECODE.into()))
}

pub(crate) fn prefill_done() -> CellNotice {
    CellNotice::PrefillDone {
        prefill: PREFILL.into(),
    }
}

pub(crate) fn prefill() -> Option<CellGrant> {
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
