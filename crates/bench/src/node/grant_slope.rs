//! The allocator of a cell against its engines, and the sizes of a request's frames.

use {
    crate::node::{
        node_report::{SlopePoint, SlopeSeries},
        process_usage::ProcessUsage,
    },
    admit::{
        AdmitAction, AdmitEvent, AdmitPolicy, AdmitRequest, CellAllocator, LinkInfo, RequestKey,
    },
    flow::{CellFrame, CellNotice, CellSubmit, GrantFrame, cell_notice::CellGrant},
    kernel::UpstreamId,
    route::{LoadReport, UpstreamInfo, UpstreamRole},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    table::{WorkRow, WorkTable},
};

const REQUESTS: u64 = 20_000;
const BLOCKS: usize = 60;
/// A wake-up that is due at once comes this much later, so that virtual time goes on.
const SHORTEST_WAKE: Duration = Duration::from_micros(100);
const STREAM: Duration = Duration::from_secs(8);

/// All series of the allocator.
pub fn run() -> Vec<SlopeSeries> {
    let mut points = Vec::new();
    for engines in [8, 16, 64, 171] {
        points.push(measure(engines));
    }
    let by_engines = SlopeSeries::new("allocator of a cell", "engines", points);
    let mut points = Vec::new();
    for blocks in [0, 16, 60] {
        points.push(frame_sizes(blocks));
    }
    let by_blocks = SlopeSeries::new("frames of a request", "prefix blocks", points);
    vec![by_engines, by_blocks]
}

/// A cell whose requests all go well: half its engines read, half generate.
struct GrantBench {
    allocator: CellAllocator,
    engines: usize,
    finished: std::collections::BTreeMap<(Instant, u64), AdmitEvent>,
    grants: u64,
    now: Instant,
    refused: u64,
    serial: u64,
}

fn measure(engines: usize) -> SlopePoint {
    let before = ProcessUsage::now();
    let mut bench = GrantBench::new(engines);
    // Each decode engine holds twenty streams of eight seconds; the cell runs at three quarters of that.
    let rate = (engines / 2).max(1) as f64 * 20.0 / STREAM.as_secs_f64() * 0.75;
    let gap = Duration::from_secs_f64(1.0 / rate);
    let requests = REQUESTS.min((rate * 120.0) as u64).max(2_000);
    let start = ProcessUsage::now();
    for serial in 0..requests {
        bench.submit(serial);
        bench.run(gap);
    }
    let end = ProcessUsage::now();
    let reports = bench.report_cost();
    let each = |time: Duration| time.as_secs_f64() * 1e6 / requests as f64;
    SlopePoint::new(
        engines as f64,
        [
            ("grants_per_request", bench.grants as f64 / requests as f64),
            ("load_report_us", reports),
            (
                "processor_us_per_request",
                each(end.processor_since(&start)),
            ),
            ("refused_share", bench.refused as f64 / requests as f64),
            (
                "resident_kb",
                end.resident.saturating_sub(before.resident) as f64 / 1e3,
            ),
        ],
    )
}

impl GrantBench {
    fn new(engines: usize) -> Self {
        let mut bench = Self {
            allocator: CellAllocator::builder().seed(1).build(),
            engines,
            finished: std::collections::BTreeMap::new(),
            grants: 0,
            now: Instant::now(),
            refused: 0,
            serial: 0,
        };
        bench.feed(AdmitEvent::Table {
            share: 1.0,
            table: Arc::new(one_row()),
        });
        let link = LinkInfo {
            bytes_per_second: 1e12,
            eviction: Duration::from_millis(800),
            kv_bytes_per_token: 160_000.0,
        };
        bench.feed(AdmitEvent::Link(link));
        for engine in 0..engines {
            bench.feed(AdmitEvent::UpstreamUp(engine_info(engine)));
        }
        bench
    }

    fn submit(&mut self, serial: u64) {
        let request = AdmitRequest {
            arrived: self.now,
            key: request_key(serial),
            max_tokens: 300,
            prefix: prefix(serial, BLOCKS),
            prompt_tokens: 3_800,
            work: "assistant".into(),
        };
        self.feed(AdmitEvent::Submit(request));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.finished.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.feed(event);
        }
        self.now = end;
    }

    fn later(&mut self, after: Duration, event: AdmitEvent) {
        self.serial += 1;
        self.finished.insert((self.now + after, self.serial), event);
    }

    fn feed(&mut self, event: AdmitEvent) {
        let mut actions = Vec::new();
        self.allocator.on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                AdmitAction::GrantDecode { key, .. } => {
                    self.grants += 1;
                    let first = AdmitEvent::FirstToken { key: key.clone() };
                    self.later(Duration::from_millis(20), first);
                    self.later(
                        STREAM,
                        AdmitEvent::Finished {
                            key,
                            output_tokens: 264,
                        },
                    );
                }
                AdmitAction::GrantPrefill { key, prefill } => {
                    self.grants += 1;
                    let done = AdmitEvent::PrefillDone { key, prefill };
                    self.later(Duration::from_millis(190), done);
                }
                AdmitAction::Refuse { .. } => self.refused += 1,
                AdmitAction::Resync { .. } => {}
                AdmitAction::WakeAt(at) => {
                    self.serial += 1;
                    let at = at.max(self.now + SHORTEST_WAKE);
                    self.finished.insert((at, self.serial), AdmitEvent::Tick);
                }
            }
        }
    }

    /// The processor time of one load report, microseconds.
    fn report_cost(&mut self) -> f64 {
        let start = ProcessUsage::now();
        let rounds = 20_000;
        for round in 0..rounds {
            let report = LoadReport {
                decode_used: 15,
                leaving: false,
                prefill_tokens: 4_000,
                taken: self.now,
                upstream: engine_name(round % self.engines),
            };
            self.feed(AdmitEvent::Load(report));
        }
        let used = ProcessUsage::now().processor_since(&start);
        used.as_secs_f64() * 1e6 / rounds as f64
    }
}

fn engine_name(engine: usize) -> UpstreamId {
    format!("engine-{engine:04}").into()
}

fn engine_info(engine: usize) -> UpstreamInfo {
    let role = if engine.is_multiple_of(2) {
        UpstreamRole::Prefill
    } else {
        UpstreamRole::Decode
    };
    UpstreamInfo {
        decode_base_seconds: 0.012,
        decode_places: 20,
        decode_slope_seconds: 0.0005,
        model: Some("model-1".into()),
        prefill_rate: 20_000.0,
        role,
        service: "assistant".into(),
        upstream: engine_name(engine),
        zone: "zone-01".into(),
    }
}

fn one_row() -> WorkTable {
    let row = WorkRow {
        between_tokens: None,
        first_token: None,
        limit: None,
        model: Some("model-1".into()),
        patience: Duration::from_secs(120),
        rank: 3,
        repeat: false,
        retries: 2,
        service: "assistant".into(),
        waste: 0.05,
        weight: 1.0,
        work: "assistant".into(),
        zones: Vec::new(),
    };
    let rows = [(row.work.clone(), row)].into();
    WorkTable { rows, version: 1 }
}

fn request_key(serial: u64) -> RequestKey {
    RequestKey {
        incarnation: 1_700_000_000_000_000,
        instance: format!("entry-{:04}", serial % 107).into(),
        serial,
    }
}

fn prefix(serial: u64, blocks: usize) -> Vec<u64> {
    (0..blocks as u64)
        .map(|block| kernel::seeded_rng::mix(block, &(serial % 500).to_le_bytes()))
        .collect()
}

/// The encoded sizes of the frames that one request causes: a submit, two grants, three notices.
fn frame_sizes(blocks: usize) -> SlopePoint {
    let key = request_key(123_456);
    let model: Arc<str> = "model-1".into();
    let submit = CellFrame::Submit(CellSubmit {
        age: Duration::from_millis(2),
        key: key.clone(),
        max_tokens: 300,
        model: model.clone(),
        prefix: prefix(7, blocks),
        prompt_tokens: 3_800,
        work: "customer-0123-work-4".into(),
    });
    let grant = GrantFrame {
        address: Some(SocketAddr::from(([10, 0, 0, 3], 8000))),
        grant: CellGrant::Prefill(engine_name(3)),
        key: key.clone(),
        model: model.clone(),
    };
    let notice = CellFrame::Notice {
        key,
        model,
        notice: CellNotice::PrefillDone {
            prefill: engine_name(3),
        },
    };
    let size =
        |body: Result<bytes::Bytes, peer::PeerError>| body.map_or(0, |body| body.len()) as f64;
    let grant = size(peer::wire::encode(&grant));
    let notice = size(peer::wire::encode(&notice));
    let submit = size(peer::wire::encode(&submit));
    SlopePoint::new(
        blocks as f64,
        [
            ("grant_bytes", grant),
            ("notice_bytes", notice),
            ("request_bytes", submit + 2.0 * grant + 3.0 * notice),
            ("submit_bytes", submit),
        ],
    )
}
