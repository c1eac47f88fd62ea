//! Engine state machine without I/O: queue, prefill, KV cache export and import, batch and orders.

use {
    super::{
        cache_event_log::CacheEventLog,
        engine_counters::EngineCounters,
        engine_event::{EngineAction, EngineCall, EngineEvent, KvImport},
        engine_faults::EngineFaults,
        engine_run::{EngineRun, KvHandle, RunEnd, RunId, RunPhase, RunView},
        engine_settings::EngineSettings,
        load_history::{LoadHistory, LoadSnapshot},
        prefix_cache::PrefixCache,
    },
    crate::fair_share_table::FairShareTable,
    engine::wire::{CacheEvents, EngineLoad, StreamRecord, engine_role::EngineRole},
    kernel::{FencingToken, ModelId},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Instant,
    },
};

/// State of one engine. It is deterministic: the same settings, events and times give the same actions.
#[derive(Debug)]
pub struct EngineCore {
    pub(super) cache: PrefixCache,
    pub(super) counters: EngineCounters,
    pub(super) exports: BTreeMap<KvHandle, RunId>,
    pub(super) faults: EngineFaults,
    pub(super) fence_seen: FencingToken,
    pub(super) history: LoadHistory,
    pub(super) ids: BTreeMap<Arc<str>, RunId>,
    pub(super) loading: BTreeSet<ModelId>,
    pub(super) cache_events: CacheEventLog,
    pub(super) models: Vec<ModelId>,
    pub(super) next_handle: KvHandle,
    pub(super) next_role: Option<(Instant, EngineRole)>,
    pub(super) prefill: FairShareTable<RunId>,
    pub(super) role: EngineRole,
    pub(super) runs: BTreeMap<RunId, EngineRun>,
    pub(super) settings: EngineSettings,
    pub(super) stalled: BTreeSet<RunId>,
    pub(super) started: Instant,
    pub(super) step_batch: Vec<RunId>,
    pub(super) step_end: Option<Instant>,
    pub(super) waiting: BTreeSet<(i32, RunId)>,
}

impl EngineCore {
    /// Returns the published cache events after a sequence number.
    pub fn cache_events(&self, now: Instant, after: u64) -> CacheEvents {
        self.cache_events.events(now, after)
    }

    /// Counts since the stand-in started.
    pub fn counters(&self) -> EngineCounters {
        let mut counters = self.counters.clone();
        counters.places_used = self.places_used();
        counters.places_without_connection = self.places_without_connection();
        counters
    }

    /// Active faults.
    pub fn faults(&self) -> &EngineFaults {
        &self.faults
    }

    /// Returns the load report as of `load_lag` ago.
    pub fn load(&self, now: Instant) -> EngineLoad {
        let snapshot = self.history.delayed(now).cloned();
        let snapshot = snapshot.unwrap_or_else(|| self.load_snapshot());
        let settings = &self.settings;
        EngineLoad {
            decode_base_seconds: settings.decode_base.as_secs_f64(),
            decode_places: settings.decode_places,
            decode_slope_seconds: settings.decode_slope.as_secs_f64(),
            decode_used: snapshot.decode_used,
            eviction_ms: u64::try_from(settings.eviction.as_millis()).unwrap_or(u64::MAX),
            kv_bytes_per_token: settings.kv_bytes_per_token,
            leaving: snapshot.leaving,
            link_bytes_per_second: settings.link_bytes_per_second,
            models: snapshot.models,
            prefill_rate: settings.prefill_rate,
            prefill_tokens: snapshot.prefill_tokens,
            role: snapshot.role,
            taken_ms_ago: u64::try_from(settings.load_lag.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Creates an engine. `first_handle` must differ between incarnations so that no handle names two KV caches.
    pub fn new(settings: EngineSettings, now: Instant, first_handle: KvHandle) -> Self {
        let mut core = Self {
            cache: PrefixCache::new(settings.cache_blocks),
            counters: EngineCounters::default(),
            exports: BTreeMap::new(),
            faults: EngineFaults::default(),
            fence_seen: 0,
            history: LoadHistory::new(settings.load_lag),
            ids: BTreeMap::new(),
            loading: BTreeSet::new(),
            cache_events: CacheEventLog::new(
                settings.cache_event_delay,
                settings.cache_gap_probability,
                settings.seed,
            ),
            models: settings.models.clone(),
            next_handle: first_handle,
            next_role: None,
            prefill: FairShareTable::new(settings.prefill_rate),
            role: settings.role,
            runs: BTreeMap::new(),
            settings,
            stalled: BTreeSet::new(),
            started: now,
            step_batch: Vec::new(),
            step_end: None,
            waiting: BTreeSet::new(),
        };
        core.record_load(now);
        core
    }

    /// Time at which [`EngineEvent::Tick`] is due; `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<Instant> {
        let timers = self.runs.values().filter_map(|run| self.run_timer(run));
        let others = [
            self.next_role.map(|(due, _)| due),
            self.prefill.next_completion(),
            self.step_end,
        ];
        timers.chain(others.into_iter().flatten()).min()
    }

    /// Handles one event and appends the resulting actions. `now` must not decrease between calls.
    pub fn on_event(&mut self, now: Instant, event: EngineEvent, actions: &mut Vec<EngineAction>) {
        self.advance(now, actions);
        match event {
            EngineEvent::Cancel(run) => self.cancel(now, run, actions),
            EngineEvent::Disconnected(run) => self.disconnect(now, run, actions),
            EngineEvent::Faults(faults) => self.set_faults(now, faults, actions),
            EngineEvent::KvAnswered { answer, run } => {
                self.handle_kv_answer(now, run, answer, actions);
            }
            EngineEvent::KvClaimed(handle) => self.claim_export(now, handle),
            EngineEvent::KvReleased { handle, used } => self.release_export(handle, used),
            EngineEvent::ModelLoaded(model) => self.add_model(model),
            EngineEvent::Order(order) => self.execute_order(now, order, actions),
            EngineEvent::Reconnected(run) => self.reconnect(run),
            EngineEvent::Submit { call, run } => self.submit(now, run, call, actions),
            EngineEvent::Tick => {}
            EngineEvent::TransferEnded(run) => self.finish_transfer(now, run, actions),
        }
        self.start_prefills(now, actions);
        self.start_step(now);
        self.record_load(now);
    }

    /// Call of a run; `None` for an unknown run.
    pub fn call(&self, run: RunId) -> Option<&EngineCall> {
        Some(&self.runs.get(&run)?.call)
    }

    /// Run of a request id, if it is active or can still be resumed.
    pub fn find_run(&self, id: &str) -> Option<RunId> {
        self.ids.get(id).copied()
    }

    /// Whether a run is active; a finished run that can be resumed is not.
    pub fn holds_resources(&self, run: RunId) -> bool {
        let run = self.runs.get(&run);
        run.is_some_and(|run| run.phase.state().is_some())
    }

    /// Active runs, oldest first.
    pub fn streams(&self) -> Vec<StreamRecord> {
        let mut records = Vec::new();
        for run in self.runs.values() {
            let Some(state) = run.phase.state() else {
                continue;
            };
            records.push(StreamRecord {
                connected: Some(run.connections > 0 || !run.needs_connection()),
                id: run.call.id.clone(),
                state,
                tokens: run.tokens,
            });
        }
        records
    }

    /// Progress of a run as its caller sees it; `None` for an unknown run.
    pub fn view(&self, run: RunId) -> Option<RunView> {
        let run = self.runs.get(&run)?;
        match run.phase {
            RunPhase::Finished { .. } => Some(run.view_at_end(RunEnd::Finished)),
            _ => Some(run.view()),
        }
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<EngineAction>) {
        while let Some(due) = self.next_wake() {
            if due > now {
                break;
            }
            self.finish_prefills(due, actions);
            self.finish_step(due, actions);
            self.expire_runs(due, actions);
            self.finish_role_change(due);
            self.start_prefills(due, actions);
            self.start_step(due);
        }
        self.finish_prefills(now, actions);
    }

    fn load_snapshot(&self) -> LoadSnapshot {
        LoadSnapshot {
            decode_used: self.places_used(),
            leaving: self.faults.leaving,
            models: self.models.clone(),
            prefill_tokens: self.pending_prefill_tokens(),
            role: self.role,
        }
    }

    pub(super) fn phase(&self, run: RunId) -> Option<&RunPhase> {
        Some(&self.runs.get(&run)?.phase)
    }

    pub(super) fn places_used(&self) -> u32 {
        let holders = self.runs.values().filter(|run| run.holds_place);
        u32::try_from(holders.count()).unwrap_or(u32::MAX)
    }

    fn places_without_connection(&self) -> u32 {
        let disconnected = |run: &&EngineRun| run.holds_place && run.disconnected.is_some();
        u32::try_from(self.runs.values().filter(disconnected).count()).unwrap_or(u32::MAX)
    }

    fn record_load(&mut self, now: Instant) {
        let snapshot = self.load_snapshot();
        self.history.record(now, snapshot);
    }

    fn set_faults(&mut self, now: Instant, faults: EngineFaults, actions: &mut Vec<EngineAction>) {
        self.faults = faults;
        if self.faults.stall_transfers {
            return;
        }
        for run in std::mem::take(&mut self.stalled) {
            self.finish_transfer(now, run, actions);
        }
    }
}

/// Builds the action that releases an import at its prefill engine.
pub(super) fn release_action(import: &KvImport, used: bool) -> EngineAction {
    EngineAction::ReleaseKv {
        import: import.clone(),
        used,
    }
}
