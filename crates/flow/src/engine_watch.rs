//! Converts the load reports of one engine to allocator events. Does no I/O.

use {
    admit::{AdmitEvent, LinkInfo},
    engine::wire::{EngineLoad, engine_role::EngineRole},
    kernel::UpstreamId,
    plat::InstanceRecord,
    route::{LoadReport, UpstreamInfo, UpstreamRole, load_report::LeavingCause},
    std::time::{Duration, Instant},
};

/// The number of consecutive failed polls after which an engine counts as gone.
const FAILURE_LIMIT: u32 = 5;

/// The state of one engine according to its reports.
#[derive(Clone, Debug, Default)]
pub struct EngineWatch {
    failures: u32,
    info: Option<UpstreamInfo>,
    is_draining: bool,
    link: Option<LinkInfo>,
}

impl EngineWatch {
    /// Whether the engine answers.
    pub fn is_up(&self) -> bool {
        self.info.is_some()
    }

    /// Whether nothing is known of the engine yet: it has not answered, and has not been silent for long enough to count as
    /// gone.
    pub fn is_unknown(&self) -> bool {
        self.info.is_none() && self.failures < FAILURE_LIMIT
    }

    /// The stage of an engine that answers.
    pub fn role(&self) -> Option<UpstreamRole> {
        self.info.as_ref().map(|info| info.role)
    }

    /// Handles a failed poll.
    pub fn on_failure(&mut self, upstream: &UpstreamId) -> Vec<AdmitEvent> {
        self.failures += 1;
        if self.failures < FAILURE_LIMIT || self.info.is_none() {
            return Vec::new();
        }
        *self = Self {
            failures: self.failures,
            ..Self::default()
        };
        vec![AdmitEvent::UpstreamGone(upstream.clone())]
    }

    /// Handles a load report. `mark` is the reason why the engine is draining if it comes from another source than the
    /// report.
    pub fn on_load(
        &mut self,
        now: Instant,
        record: &InstanceRecord,
        load: &EngineLoad,
        mark: Option<LeavingCause>,
    ) -> Vec<AdmitEvent> {
        self.failures = 0;
        let mut events = Vec::new();
        self.note_link(load, &mut events);
        let mark = mark.or(load.leaving.then_some(LeavingCause::Said));
        self.note_info(make_info(record, load), mark, &mut events);
        events.push(AdmitEvent::Load(make_report(now, record, load)));
        events
    }

    fn note_info(
        &mut self,
        info: UpstreamInfo,
        mark: Option<LeavingCause>,
        events: &mut Vec<AdmitEvent>,
    ) {
        let is_changed = self.info.as_ref() != Some(&info);
        let is_back = self.is_draining && mark.is_none();
        if is_changed || is_back {
            events.push(AdmitEvent::UpstreamUp(info.clone()));
        }
        if let Some(cause) = mark
            && (is_changed || !self.is_draining)
        {
            events.push(AdmitEvent::UpstreamDraining(info.upstream.clone(), cause));
        }
        self.is_draining = mark.is_some();
        self.info = Some(info);
    }

    fn note_link(&mut self, load: &EngineLoad, events: &mut Vec<AdmitEvent>) {
        if load.role != EngineRole::Prefill {
            return;
        }
        let link = LinkInfo {
            bytes_per_second: load.link_bytes_per_second,
            eviction: Duration::from_millis(load.eviction_ms),
            kv_bytes_per_token: load.kv_bytes_per_token,
        };
        if self.link.as_ref() == Some(&link) {
            return;
        }
        self.link = Some(link.clone());
        events.push(AdmitEvent::Link(link));
    }
}

fn make_info(record: &InstanceRecord, load: &EngineLoad) -> UpstreamInfo {
    UpstreamInfo {
        decode_base_seconds: load.decode_base_seconds,
        decode_places: load.decode_places,
        decode_slope_seconds: load.decode_slope_seconds,
        model: record.model.clone(),
        prefill_rate: load.prefill_rate,
        role: match load.role {
            EngineRole::Decode => UpstreamRole::Decode,
            EngineRole::Prefill => UpstreamRole::Prefill,
        },
        service: record.service.clone().unwrap_or_else(|| "".into()),
        upstream: record.name.clone(),
        zone: record.zone.clone(),
    }
}

fn make_report(now: Instant, record: &InstanceRecord, load: &EngineLoad) -> LoadReport {
    let age = Duration::from_millis(load.taken_ms_ago);
    LoadReport {
        decode_used: load.decode_used,
        leaving: load.leaving,
        prefill_tokens: load.prefill_tokens,
        taken: now.checked_sub(age).unwrap_or(now),
        upstream: record.name.clone(),
    }
}
