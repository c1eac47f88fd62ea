//! The allocator of one cell.

use {
    crate::{
        admit_action::AdmitAction,
        admit_event::{AdmitEvent, AnnouncedPhase},
        admit_policy::AdmitPolicy,
        admit_request::AdmitRequest,
        cell_counts::CellCounts,
        cell_tuning::CellTuning,
        ended_keys::EndedKeys,
        engine_pool::EnginePool,
        held_request::HeldRequest,
        link_schedule::LinkSchedule,
        pool_key::PoolKey,
        request_key::RequestKey,
        request_phase::RequestPhase,
        row_state::RowState,
    },
    bon::bon,
    kernel::{Incarnation, InstanceId, WorkId},
    route::{EngineSelector, PrefixTable},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    table::WorkTable,
};

/// Orders the queue of one cell and grants prefill engines, transfers and decode places.
///
/// Deterministic: the same seed and events give the same decisions. Every submitted request gets exactly one of: a
/// refusal, a chain of grants, or nothing more after its cancellation. Late, duplicate and unknown events have no
/// effect, except that a notice for a request which the allocator no longer holds is answered with
/// [`AdmitAction::Resync`].
///
/// A key that ended by `Finished`, `Cancel` or `HolderGone` can't be submitted again; one that was refused or ended by
/// `DecodeLost` can. Requests that were being prefilled by an upstream that is gone return to the queue, and the next
/// grant replaces the earlier one. Retries are limited by the entry instances, not here.
#[derive(Clone, Debug)]
pub struct CellAllocator {
    pub(crate) choice: EngineSelector,
    pub(crate) ended: EndedKeys,
    /// Announced requests whose row is unknown until the first table arrives.
    pub(crate) pending: BTreeMap<RequestKey, (AnnouncedPhase, AdmitRequest)>,
    pub(crate) live_incarnations: BTreeMap<InstanceId, Incarnation>,
    pub(crate) link: LinkSchedule,
    pub(crate) pools: BTreeMap<PoolKey, EnginePool>,
    pub(crate) prefixes: PrefixTable,
    /// Requests whose KV cache waits for a decode place and the link, earliest due time first.
    pub(crate) prefilled: BTreeSet<(Instant, RequestKey)>,
    pub(crate) requests: BTreeMap<RequestKey, HeldRequest>,
    pub(crate) row_ids: BTreeMap<WorkId, usize>,
    pub(crate) rows: Vec<RowState>,
    pub(crate) serial: u64,
    pub(crate) share: f64,
    pub(crate) last_sweep: Option<Instant>,
    pub(crate) table: Arc<WorkTable>,
    pub(crate) timers: BTreeSet<(Instant, RequestKey)>,
    pub(crate) tuning: CellTuning,
    pub(crate) next_wake: Option<Instant>,
}

#[bon]
impl CellAllocator {
    /// Creates an allocator without a table, upstreams or requests.
    #[builder]
    pub fn new(
        /// The share of the eviction time within which a decode place must be expected, from 0 to 1.
        #[builder(default = 0.6)]
        eviction_share: f64,
        /// How long a decode engine that refused counts as full, unless a later load report contradicts it.
        #[builder(default = Duration::from_millis(200))]
        full_backoff: Duration,
        /// How many standard deviations of urgent demand patient work leaves free.
        #[builder(default = 2.0)]
        headroom: f64,
        /// How long before an engine or the link becomes free the next grant is sent. Compensates for the delay of a
        /// grant.
        #[builder(default)]
        lookahead: Duration,
        /// The share of service reserved for work that waited half its patience, regardless of rank, from 0 to 1.
        #[builder(default = 0.007)]
        patient_share: f64,
        /// How many blocks of prompt prefixes are remembered for each prefill engine.
        #[builder(default = 4096)]
        prefix_blocks: usize,
        /// The longest queue that is accepted to reuse a cached prefix.
        #[builder(default = Duration::from_millis(300))]
        prefix_queue: Duration,
        /// Breaks ties between equal engines.
        #[builder(default)]
        seed: u64,
    ) -> Self {
        let tuning = CellTuning {
            eviction_share,
            full_backoff,
            headroom,
            lookahead,
            patient_share,
            prefix_queue,
        };
        Self {
            choice: EngineSelector::new(seed),
            pending: BTreeMap::new(),
            ended: EndedKeys::default(),
            link: LinkSchedule::default(),
            live_incarnations: BTreeMap::new(),
            pools: BTreeMap::new(),
            prefixes: PrefixTable::new(prefix_blocks),
            prefilled: BTreeSet::new(),
            requests: BTreeMap::new(),
            row_ids: BTreeMap::new(),
            rows: Vec::new(),
            serial: 0,
            share: 1.0,
            last_sweep: None,
            table: Arc::default(),
            timers: BTreeSet::new(),
            tuning,
            next_wake: None,
        }
    }
}

impl AdmitPolicy for CellAllocator {
    fn on_event(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>) {
        self.apply(now, event, actions);
        self.schedule(now, actions);
    }
}

impl CellAllocator {
    fn apply(&mut self, now: Instant, event: AdmitEvent, actions: &mut Vec<AdmitAction>) {
        match event {
            AdmitEvent::Announce { phase, request } => {
                self.announce(now, phase, request, actions);
            }
            AdmitEvent::CacheEvents {
                evicted,
                stored,
                upstream,
            } => self.cache_events(&upstream, &stored, &evicted),
            AdmitEvent::Cancel { key } => self.cancel(now, &key),
            AdmitEvent::DecodeLost { key } => self.decode_lost(now, &key),
            AdmitEvent::DecodeRefused { key } => self.decode_refused(now, &key, actions),
            AdmitEvent::Finished { key, output_tokens } => self.finished(now, &key, output_tokens),
            AdmitEvent::FirstToken { key } => self.first_token(now, &key, actions),
            AdmitEvent::HolderGone { before, instance } => {
                self.holder_gone(now, before, instance);
            }
            AdmitEvent::KvEvicted { key } => self.kv_evicted(now, &key, actions),
            AdmitEvent::Link(info) => self.link.set_info(info),
            AdmitEvent::Load(report) => self.load(&report),
            AdmitEvent::PrefillDone { key, prefill } => {
                self.prefill_done(now, &key, prefill, actions);
            }
            AdmitEvent::PrefillFailed {
                is_unavailable,
                key,
                prefill,
            } => {
                if is_unavailable {
                    self.suspend_prefill(now, &prefill);
                }
                self.prefill_failed(now, &key, &prefill, actions);
            }
            AdmitEvent::Reconcile { phase, request } => {
                self.reconcile(now, phase, request, actions)
            }
            AdmitEvent::Submit(request) => self.submit(now, request, actions),
            AdmitEvent::Table { share, table } => self.set_table(now, share, table, actions),
            AdmitEvent::Tick => {}
            AdmitEvent::UpstreamGone(upstream) => self.upstream_gone(now, &upstream),
            AdmitEvent::UpstreamDraining(upstream, _) => self.upstream_draining(&upstream),
            AdmitEvent::UpstreamUp(info) => self.upstream_up(now, info),
        }
    }
}

impl CellAllocator {
    /// Counts the held requests by phase, in time linear in their number.
    pub fn counts(&self) -> CellCounts {
        let mut counts = CellCounts::default();
        for held in self.requests.values() {
            let count = match held.phase {
                RequestPhase::Decoding { .. } => &mut counts.decoding,
                RequestPhase::Prefilling { .. } => &mut counts.reading,
                RequestPhase::Queued => &mut counts.queued,
                RequestPhase::Prefilled { .. } => &mut counts.read,
                RequestPhase::Transferring { .. } => &mut counts.transferring,
            };
            *count += 1;
        }
        for pool in self.pools.values() {
            counts.claims += pool.reservations.len();
            for engine in pool.decodes.values() {
                counts.places += usize::try_from(engine.load.own()).unwrap_or(usize::MAX);
            }
        }
        for state in &self.rows {
            counts.running += state.running as usize;
        }
        counts
    }
}
