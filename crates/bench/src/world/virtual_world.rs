//! The run itself: events in the order of their time.

use {
    crate::{
        policies::BenchPolicy,
        scenario::scenario_file::ScenarioFile,
        world::{
            event_heap::EventHeap,
            reading_state::{ReadingIndex, ReadingPhase},
            request_plan::RequestPlan,
            request_state::{EntryPhase, RequestOutcome, RequestState},
            run_tally::RunTally,
            token_ledger::{TokenLedger, WasteCause},
            world_event::{EngineName, WorldEvent},
            world_truth::WorldTruth,
        },
    },
    admit::{AdmitAction, AdmitEvent},
    kernel::InstanceId,
    rand::SeedableRng,
    rand_pcg::Pcg64,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// An allocator is woken no sooner than this after it asked, so that a run always ends.
const LEAST_WAKE: Duration = Duration::from_micros(100);

/// Tells the outsiders' draws from those of the requests.
const OUTSIDER_SEED: u64 = 1 << 32;

/// An entry instance.
#[derive(Clone, Debug)]
pub(crate) struct EntryState {
    pub(crate) alive: bool,
    /// Its life; it rises with each return.
    pub(crate) incarnation: u64,
    pub(crate) name: InstanceId,
}

/// One availability zone, driven by one policy through one scenario.
pub struct VirtualWorld<P, F> {
    pub(crate) actions: Vec<AdmitAction>,
    pub(crate) allocator_alive: bool,
    pub(crate) allocator_life: u64,
    /// How often the allocator was called.
    pub(crate) decisions: u64,
    pub(crate) entries: Vec<EntryState>,
    pub(crate) heap: EventHeap<WorldEvent>,
    pub(crate) ledger: TokenLedger,
    pub(crate) link_version: u64,
    pub(crate) make: F,
    pub(crate) now: Instant,
    /// Draws the outsiders.
    pub(crate) outsiders: Pcg64,
    pub(crate) policy: P,
    pub(crate) requests: Vec<RequestState>,
    /// Draws which cache events are missed.
    pub(crate) rng: Pcg64,
    pub(crate) truth: WorldTruth,
    pub(crate) wake: Option<Instant>,
}

impl<P: BenchPolicy, F: FnMut() -> P> VirtualWorld<P, F> {
    /// A world at its start; `make` makes an allocator, and another one after a death.
    pub fn new(
        file: Arc<ScenarioFile>,
        plans: Arc<Vec<RequestPlan>>,
        seed: u64,
        mut make: F,
    ) -> Self {
        let started = Instant::now();
        let mut entries = Vec::new();
        for index in 0..file.entries {
            entries.push(EntryState {
                alive: true,
                incarnation: 1,
                name: format!("entry-{index}").into(),
            });
        }
        let mut requests = Vec::with_capacity(plans.len());
        for plan in plans.iter() {
            requests.push(RequestState {
                arrived: started + plan.arrives,
                entry: plan.entry,
                finished: None,
                first_token: None,
                outcome: None,
                phase: EntryPhase::Planned,
                reading: None,
                retries: file.rows[plan.row].retries,
                serial: 0,
            });
        }
        Self {
            actions: Vec::new(),
            allocator_alive: true,
            allocator_life: 0,
            decisions: 0,
            entries,
            heap: EventHeap::new(),
            ledger: TokenLedger::default(),
            link_version: 0,
            outsiders: SeedableRng::seed_from_u64(seed ^ OUTSIDER_SEED),
            policy: make(),
            make,
            now: started,
            requests,
            rng: SeedableRng::seed_from_u64(!seed),
            truth: WorldTruth::new(file, plans, started),
            wake: None,
        }
    }

    /// Runs the scenario to its end and tells what came of it.
    pub fn run(mut self) -> RunTally {
        self.start();
        let file = self.truth.file.clone();
        let end = self.truth.started + file.duration + file.drain;
        while let Some((at, event)) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish(end)
    }

    fn start(&mut self) {
        for (request, state) in self.requests.iter().enumerate() {
            self.heap.push(state.arrived, WorldEvent::Arrives(request));
        }
        self.schedule_faults();
        self.schedule_reports();
        self.outsider_next();
        self.introduce();
    }

    /// Tells a new allocator the table, the link and the engines of the list.
    pub(crate) fn introduce(&mut self) {
        for event in self.truth.introduction() {
            self.decide(event);
        }
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::AllocatorBack => self.allocator_back(),
            WorldEvent::AllocatorDies => self.allocator_dies(),
            WorldEvent::AllocatorHears { event, life } => self.allocator_hears(event, life),
            WorldEvent::Arrives(request) => self.arrives(request),
            WorldEvent::CallerGoes(request) => self.caller_goes(request),
            WorldEvent::DecodeAsked { decode, reading } => self.decode_asked(decode, reading),
            WorldEvent::DecodeDue { decode, version } => self.decode_due(decode, version),
            WorldEvent::EngineCancels { cause, reading } => self.engine_cancels(reading, cause),
            WorldEvent::EngineDies(engine) => self.engine_dies(engine),
            WorldEvent::EngineLeaves(engine) => self.engine_leaves(engine),
            WorldEvent::EngineReturns(engine) => self.engine_returns(engine),
            WorldEvent::EntryDies(entry) => self.entry_dies(entry),
            WorldEvent::EntryHears(action) => self.entry_hears(action),
            WorldEvent::EntryMissed { before, entry } => self.entry_missed(before, entry),
            WorldEvent::EntryNoted { note, reading } => self.entry_noted(note, reading),
            WorldEvent::EntryReturns(entry) => self.entry_returns(entry),
            WorldEvent::KvEvicts(reading) => self.kv_evicts(reading),
            WorldEvent::LinkDue { version } => self.link_due(version),
            WorldEvent::ListChanges(engine) => self.list_changes(engine),
            WorldEvent::LoadTaken(engine) => self.load_taken(engine),
            WorldEvent::OutsiderComes => self.outsider_comes(),
            WorldEvent::OutsiderGoes { decode, life } => self.outsider_goes(decode, life),
            WorldEvent::PrefillAsked(reading) => self.prefill_asked(reading),
            WorldEvent::PrefillDue { prefill, reading } => self.prefill_due(prefill, reading),
            WorldEvent::Wakes(at) => self.wakes(at),
        }
    }

    pub(crate) fn after(&mut self, delay: Duration, event: WorldEvent) {
        self.heap.push(self.now + delay, event);
    }

    /// Sends a message to the allocator of today.
    pub(crate) fn tell_allocator(&mut self, delay: Duration, event: AdmitEvent) {
        let delay = if P::EXACT { Duration::ZERO } else { delay };
        let life = self.allocator_life;
        self.after(delay, WorldEvent::AllocatorHears { event, life });
    }

    fn allocator_hears(&mut self, event: AdmitEvent, life: u64) {
        if life == self.allocator_life && self.allocator_alive {
            self.decide(event);
        }
    }

    pub(crate) fn decide(&mut self, event: AdmitEvent) {
        self.decisions += 1;
        let mut actions = std::mem::take(&mut self.actions);
        self.policy
            .decide(self.now, event, &self.truth, &mut actions);
        for action in actions.drain(..) {
            self.carry(action);
        }
        self.actions = actions;
    }

    fn carry(&mut self, action: AdmitAction) {
        if let AdmitAction::WakeAt(at) = action {
            let at = at.max(self.now + LEAST_WAKE);
            if self.wake.is_none_or(|wake| at < wake) {
                self.wake = Some(at);
                self.heap.push(at, WorldEvent::Wakes(at));
            }
            return;
        }
        let delay = match P::EXACT {
            true => Duration::ZERO,
            false => self.truth.file.delays.allocator,
        };
        self.after(delay, WorldEvent::EntryHears(action));
    }

    fn wakes(&mut self, at: Instant) {
        if self.wake != Some(at) || !self.allocator_alive {
            return;
        }
        self.wake = None;
        self.decide(AdmitEvent::Tick);
    }

    /// Accounts a reading's tokens as wasted, once.
    pub(crate) fn close_wasted(&mut self, reading: ReadingIndex, cause: WasteCause) {
        let state = &mut self.truth.readings[reading];
        state.phase = ReadingPhase::Gone;
        if state.closed {
            return;
        }
        state.closed = true;
        let ended = self.requests[state.request].outcome;
        let cause = match ended {
            Some(RequestOutcome::Broken | RequestOutcome::Cancelled) => WasteCause::CallerGone,
            _ => cause,
        };
        self.ledger.waste(cause, state.tokens);
    }

    /// Accounts a reading's tokens as delivered, once.
    pub(crate) fn close_delivered(&mut self, reading: ReadingIndex) {
        let state = &mut self.truth.readings[reading];
        if state.closed {
            return;
        }
        state.closed = true;
        self.ledger.delivered += u64::from(state.tokens);
    }

    fn finish(mut self, end: Instant) -> RunTally {
        self.now = end;
        for prefill in 0..self.truth.prefills.len() {
            self.stop_turn(prefill);
        }
        for reading in 0..self.truth.readings.len() {
            self.close_wasted(reading, WasteCause::Other);
        }
        for state in &mut self.requests {
            if state.outcome.is_none() {
                state.outcome = Some(RequestOutcome::Lost);
            }
        }
        RunTally::of(&self.truth, &self.requests, self.ledger, self.decisions)
    }

    pub(crate) fn request_reports(&mut self, engine: EngineName, delay: Duration) {
        self.after(delay, WorldEvent::LoadTaken(engine));
    }
}
