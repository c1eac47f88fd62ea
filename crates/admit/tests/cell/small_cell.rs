//! A small cell for tests.

use {
    admit::{
        AdmitAction, AdmitEvent, AdmitPolicy, AdmitRequest, CellAllocator, LinkInfo, RequestKey,
    },
    kernel::ResultCode,
    route::{UpstreamInfo, UpstreamRole},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    table::{WorkRow, WorkTable},
};

/// An allocator with a simulated clock.
pub(crate) struct Cell {
    pub(crate) allocator: CellAllocator,
    pub(crate) now: Instant,
    pub(crate) table: WorkTable,
}

impl Cell {
    /// A cell without upstreams and rows.
    pub(crate) fn empty() -> Self {
        Self {
            allocator: CellAllocator::builder().seed(7).build(),
            now: Instant::now(),
            table: WorkTable::default(),
        }
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    pub(crate) fn request(&self, serial: u64, work: &str) -> AdmitRequest {
        AdmitRequest {
            arrived: self.now,
            key: key(serial),
            max_tokens: 400,
            prefix: Vec::new(),
            prompt_tokens: 500,
            work: work.into(),
        }
    }

    pub(crate) fn row(&mut self, row: WorkRow) {
        self.table.rows.insert(row.work.clone(), row);
        self.table.version += 1;
        let table = Arc::new(self.table.clone());
        self.send(AdmitEvent::Table { share: 1.0, table });
    }

    pub(crate) fn send(&mut self, event: AdmitEvent) -> Vec<AdmitAction> {
        let mut actions = Vec::new();
        self.allocator.on_event(self.now, event, &mut actions);
        actions
    }

    /// One prefill engine, one decode engine with two places, an urgent row and a patient row.
    pub(crate) fn small() -> Self {
        let mut cell = Self::empty();
        cell.row(urgent("slot"));
        cell.row(patient("report"));
        cell.send(AdmitEvent::Link(link()));
        cell.send(AdmitEvent::UpstreamUp(upstream(
            "p1",
            UpstreamRole::Prefill,
        )));
        cell.send(AdmitEvent::UpstreamUp(upstream("d1", UpstreamRole::Decode)));
        cell
    }
}

/// The key of a request of the test's entry instance.
pub(crate) fn key(serial: u64) -> RequestKey {
    RequestKey {
        incarnation: 1,
        instance: "gijon-1".into(),
        serial,
    }
}

/// A link that transfers 100 prompt tokens per millisecond.
pub(crate) fn link() -> LinkInfo {
    LinkInfo {
        bytes_per_second: 1e10,
        eviction: Duration::from_millis(600),
        kv_bytes_per_token: 1e5,
    }
}

pub(crate) fn patient(work: &str) -> WorkRow {
    WorkRow {
        between_tokens: None,
        first_token: None,
        limit: None,
        model: Some("glaze".into()),
        patience: Duration::from_secs(60),
        rank: 5,
        repeat: true,
        retries: 2,
        service: "glaze-llm".into(),
        waste: 0.3,
        weight: 1.0,
        work: work.into(),
        zones: Vec::new(),
    }
}

/// The prefill engine of the small cell has prefilled a request.
pub(crate) fn prefill_done(key: RequestKey) -> AdmitEvent {
    AdmitEvent::PrefillDone {
        key,
        prefill: "p1".into(),
    }
}

pub(crate) fn refusals(actions: &[AdmitAction]) -> Vec<ResultCode> {
    let mut codes = Vec::new();
    for action in actions {
        if let AdmitAction::Refuse { code, .. } = action {
            codes.push(*code);
        }
    }
    codes
}

pub(crate) fn upstream(name: &str, role: UpstreamRole) -> UpstreamInfo {
    UpstreamInfo {
        decode_base_seconds: 0.010,
        decode_places: 2,
        decode_slope_seconds: 0.0005,
        model: Some("glaze".into()),
        prefill_rate: 10_000.0,
        role,
        service: "glaze-llm".into(),
        upstream: name.into(),
        zone: "riga-a".into(),
    }
}

pub(crate) fn urgent(work: &str) -> WorkRow {
    WorkRow {
        between_tokens: Some(Duration::from_millis(25)),
        first_token: Some(Duration::from_millis(480)),
        patience: Duration::from_secs(2),
        rank: 1,
        ..patient(work)
    }
}
