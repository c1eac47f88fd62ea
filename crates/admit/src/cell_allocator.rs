//! The allocator of one cell.

use {
    crate::{
        admit_action::AdmitAction, admit_event::AdmitEvent, admit_policy::AdmitPolicy,
        decode_engine::DecodeEngine, held_request::HeldRequest, link_info::LinkInfo,
        prefill_engine::PrefillEngine, request_key::RequestKey, row_state::RowState,
    },
    bon::bon,
    kernel::{Incarnation, InstanceId, UpstreamId, WorkId},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    table::WorkTable,
};

/// Orders the queue of one cell and grants prefill engines, link turns and decode places.
///
/// Pure: the same seed and the same events give the same decisions.
#[derive(Clone, Debug)]
pub struct CellAllocator {
    pub(crate) decodes: BTreeMap<UpstreamId, DecodeEngine>,
    pub(crate) expiries: BTreeSet<(Instant, RequestKey)>,
    pub(crate) full_backoff: Duration,
    pub(crate) lives: BTreeMap<InstanceId, Incarnation>,
    pub(crate) link: Option<LinkInfo>,
    pub(crate) link_free_at: Option<Instant>,
    pub(crate) prefills: BTreeMap<UpstreamId, PrefillEngine>,
    pub(crate) read: BTreeSet<(Instant, RequestKey)>,
    pub(crate) reading: u32,
    pub(crate) requests: BTreeMap<RequestKey, HeldRequest>,
    pub(crate) rows: BTreeMap<WorkId, RowState>,
    #[expect(dead_code, reason = "the forecast of free places is to read it")]
    pub(crate) seed: u64,
    pub(crate) serial: u64,
    pub(crate) share: f64,
    pub(crate) table: Arc<WorkTable>,
}

#[bon]
impl CellAllocator {
    /// An allocator that knows no table, no upstream and no request yet.
    #[builder]
    pub fn new(
        /// How long a decode engine that refused is taken as full, unless a later load report says otherwise.
        #[builder(default = Duration::from_millis(200))]
        full_backoff: Duration,
        /// Settles ties between equal engines.
        #[builder(default)]
        seed: u64,
    ) -> Self {
        Self {
            decodes: BTreeMap::new(),
            expiries: BTreeSet::new(),
            full_backoff,
            lives: BTreeMap::new(),
            link: None,
            link_free_at: None,
            prefills: BTreeMap::new(),
            read: BTreeSet::new(),
            reading: 0,
            requests: BTreeMap::new(),
            rows: BTreeMap::new(),
            seed,
            serial: 0,
            share: 1.0,
            table: Arc::default(),
        }
    }
}

impl AdmitPolicy for CellAllocator {
    fn on_event(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>) {
        self.take(now, event, actions);
        self.schedule(now, actions);
    }
}

impl CellAllocator {
    fn take(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>) {
        match event {
            AdmitEvent::Announce { phase, request } => self.announce(now, phase, request),
            AdmitEvent::CacheEvents { .. } | AdmitEvent::Tick => {}
            AdmitEvent::Cancel { key } => self.end(&key),
            AdmitEvent::DecodeLost { key } => self.end_after_transfer(&key),
            AdmitEvent::DecodeRefused { key } => self.decode_refused(now, &key, actions),
            AdmitEvent::Finished { key, .. } => self.end_after_transfer(&key),
            AdmitEvent::FirstToken { key } => self.first_token(now, &key),
            AdmitEvent::HolderGone { before, instance } => self.holder_gone(before, instance),
            AdmitEvent::KvEvicted { key } => self.kv_evicted(now, &key, actions),
            AdmitEvent::Link(info) => self.link = Some(info),
            AdmitEvent::Load(report) => self.load(&report),
            AdmitEvent::PrefillDone { key } => self.prefill_done(now, &key),
            AdmitEvent::PrefillFailed { key } => self.prefill_failed(now, &key, actions),
            AdmitEvent::Submit(request) => self.submit(now, request, actions),
            AdmitEvent::Table { share, table } => self.set_table(share, table, actions),
            AdmitEvent::UpstreamGone(upstream) => self.upstream_gone(now, &upstream, actions),
            AdmitEvent::UpstreamLeaving(upstream, _) => self.upstream_leaving(&upstream),
            AdmitEvent::UpstreamUp(info) => self.upstream_up(now, info),
        }
    }
}
