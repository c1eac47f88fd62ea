//! What dies, leaves and comes back, and the load reports.

use {
    crate::{
        policies::BenchPolicy,
        scenario::fault_event::FaultEvent,
        world::{
            reading_state::{EngineIndex, ReadingIndex, ReadingPhase},
            request_state::{EntryPhase, RequestIndex, RequestOutcome},
            token_ledger::WasteCause,
            virtual_world::VirtualWorld,
            world_event::{EngineName, EngineNote, WorldEvent},
        },
    },
    admit::{AdmitEvent, AnnouncedPhase},
    kernel::Incarnation,
    route::{LoadReport, load_report::LeavingCause},
};

impl<P: BenchPolicy, F: FnMut() -> P> VirtualWorld<P, F> {
    pub(crate) fn schedule_faults(&mut self) {
        let file = self.truth.file.clone();
        for fault in &file.faults {
            self.schedule_fault(fault);
        }
    }

    fn schedule_fault(&mut self, fault: &FaultEvent) {
        match fault {
            FaultEvent::AllocatorDies { at } => {
                // The clairvoyant allocator never dies.
                if !P::EXACT {
                    self.after(*at, WorldEvent::AllocatorDies);
                }
            }
            FaultEvent::EngineDies {
                at,
                back_after,
                engine,
            } => {
                let Some(engine) = self.truth.engine(engine) else {
                    return;
                };
                self.after(*at, WorldEvent::EngineDies(engine));
                if let Some(back) = back_after {
                    self.after(*at + *back, WorldEvent::EngineReturns(engine));
                }
            }
            FaultEvent::EngineLeaves {
                at,
                engine,
                gone_after,
            } => {
                let Some(engine) = self.truth.engine(engine) else {
                    return;
                };
                self.after(*at, WorldEvent::EngineLeaves(engine));
                self.after(*at + *gone_after, WorldEvent::EngineDies(engine));
            }
            FaultEvent::EntryDies {
                at,
                back_after,
                entry,
            } => {
                let entry = *entry as usize;
                self.after(*at, WorldEvent::EntryDies(entry));
                if let Some(back) = back_after {
                    self.after(*at + *back, WorldEvent::EntryReturns(entry));
                }
            }
        }
    }

    pub(crate) fn schedule_reports(&mut self) {
        let engines = self.truth.engines();
        let every = self.truth.file.delays.report_every;
        let count = engines.len() as u32;
        for (index, engine) in engines.into_iter().enumerate() {
            // Engines report one after the other, as they would have started.
            let delay = every * index as u32 / count;
            self.request_reports(engine, delay);
        }
    }

    pub(crate) fn load_taken(&mut self, engine: EngineName) {
        let delays = self.truth.file.delays.clone();
        self.request_reports(engine, delays.report_every);
        if !self.truth.is_alive(engine) {
            return;
        }
        let (decode_used, prefill_tokens) = match engine {
            EngineName::Decode(index) => (self.truth.decodes[index].held, 0),
            EngineName::Prefill(index) => (0, self.waiting_tokens(index)),
        };
        let report = LoadReport {
            decode_used,
            leaving: self.truth.is_leaving(engine),
            prefill_tokens,
            taken: self.now,
            upstream: self.truth.upstream(engine),
        };
        self.tell_allocator(delays.report_lag, AdmitEvent::Load(report));
    }

    fn waiting_tokens(&self, prefill: EngineIndex) -> u64 {
        let engine = &self.truth.prefills[prefill];
        let mut tokens = 0;
        if let Some(turn) = &engine.turn {
            tokens += u64::from(turn.tokens - turn.tokens_read(self.now));
        }
        for reading in &engine.queue {
            let request = self.truth.readings[*reading].request;
            tokens += u64::from(self.truth.uncached_tokens(prefill, request));
        }
        tokens
    }

    pub(crate) fn engine_leaves(&mut self, engine: EngineName) {
        match engine {
            EngineName::Decode(index) => self.truth.decodes[index].leaving = true,
            EngineName::Prefill(index) => self.truth.prefills[index].leaving = true,
        }
        let lag = self.truth.file.delays.list_lag;
        self.after(lag, WorldEvent::ListChanges(engine));
    }

    pub(crate) fn engine_dies(&mut self, engine: EngineName) {
        match engine {
            EngineName::Decode(index) => self.decode_dies(index),
            EngineName::Prefill(index) => self.prefill_dies(index),
        }
        let lag = self.truth.file.delays.list_lag;
        self.after(lag, WorldEvent::ListChanges(engine));
    }

    pub(crate) fn engine_returns(&mut self, engine: EngineName) {
        match engine {
            EngineName::Decode(index) => {
                self.truth.decodes[index].alive = true;
                self.truth.decodes[index].leaving = false;
            }
            EngineName::Prefill(index) => {
                self.truth.prefills[index].alive = true;
                self.truth.prefills[index].leaving = false;
            }
        }
        let lag = self.truth.file.delays.list_lag;
        self.after(lag, WorldEvent::ListChanges(engine));
    }

    /// The allocator hears what the list says by now.
    pub(crate) fn list_changes(&mut self, engine: EngineName) {
        let upstream = self.truth.upstream(engine);
        let event = if !self.truth.is_alive(engine) {
            AdmitEvent::UpstreamGone(upstream)
        } else if self.truth.is_leaving(engine) {
            AdmitEvent::UpstreamDraining(upstream, LeavingCause::Listed)
        } else {
            AdmitEvent::UpstreamUp(self.truth.upstream_info(engine))
        };
        self.entry_tells(event);
    }

    fn decode_dies(&mut self, decode: EngineIndex) {
        for reading in self.readings_where(|phase| match phase {
            ReadingPhase::Moving { decode: held, .. } => held == decode,
            ReadingPhase::Streaming { decode: held } => held == decode,
            _ => false,
        }) {
            match self.truth.readings[reading].phase {
                ReadingPhase::Moving { mark, .. } => self.stop_transfer(reading, decode, mark),
                _ => self.truth.decodes[decode].leave(self.now, reading),
            }
            self.close_wasted(reading, WasteCause::UpstreamDied);
            self.tell_entry(reading, EngineNote::DecodeLost { decode });
        }
        self.truth.decodes[decode].alive = false;
        self.truth.decodes[decode].held = 0;
        self.truth.decodes[decode].life += 1;
        self.schedule_decode(decode);
    }

    fn prefill_dies(&mut self, prefill: EngineIndex) {
        self.stop_turn(prefill);
        self.truth.prefills[prefill].alive = false;
        self.truth.prefills[prefill].cache.clear();
        let queue = std::mem::take(&mut self.truth.prefills[prefill].queue);
        for reading in queue {
            self.close_wasted(reading, WasteCause::UpstreamDied);
            self.tell_entry(reading, EngineNote::PrefillFailed);
        }
        let touched = self.readings_where(|phase| {
            matches!(
                phase,
                ReadingPhase::Kept | ReadingPhase::Moving { .. } | ReadingPhase::Reading
            )
        });
        for reading in touched {
            if self.truth.readings[reading].prefill != prefill {
                continue;
            }
            let note = match self.truth.readings[reading].phase {
                ReadingPhase::Reading => EngineNote::PrefillFailed,
                _ => EngineNote::KvGone { dead: true },
            };
            if let ReadingPhase::Moving { decode, mark } = self.truth.readings[reading].phase {
                self.stop_transfer(reading, decode, mark);
            }
            self.close_wasted(reading, WasteCause::UpstreamDied);
            self.tell_entry(reading, note);
        }
    }

    fn readings_where(&self, holds: impl Fn(ReadingPhase) -> bool) -> Vec<ReadingIndex> {
        let mut found = Vec::new();
        for (index, reading) in self.truth.readings.iter().enumerate() {
            if holds(reading.phase) {
                found.push(index);
            }
        }
        found
    }

    pub(crate) fn entry_dies(&mut self, entry: usize) {
        self.entries[entry].alive = false;
        for request in self.held_by(entry) {
            self.end(request, RequestOutcome::Broken);
        }
        let lag = self.truth.file.delays.holder_lag;
        let before = self.entries[entry].incarnation + 1;
        self.after(lag, WorldEvent::EntryMissed { before, entry });
    }

    fn held_by(&self, entry: usize) -> Vec<RequestIndex> {
        let mut held = Vec::new();
        for (request, state) in self.requests.iter().enumerate() {
            let arrived = state.phase != EntryPhase::Planned;
            if state.entry == entry && arrived && state.outcome.is_none() {
                held.push(request);
            }
        }
        held
    }

    /// The engines' streams of the dead entry instance are cancelled, and the allocator hears of it.
    pub(crate) fn entry_missed(&mut self, before: Incarnation, entry: usize) {
        let instance = self.entries[entry].name.clone();
        self.entry_tells(AdmitEvent::HolderGone { before, instance });
        let delay = self.truth.file.delays.engine;
        for reading in self.readings_where(|phase| phase != ReadingPhase::Gone) {
            let request = self.truth.readings[reading].request;
            let state = &self.requests[request];
            if state.entry != entry || state.outcome != Some(RequestOutcome::Broken) {
                continue;
            }
            let cause = WasteCause::CallerGone;
            self.after(delay, WorldEvent::EngineCancels { cause, reading });
        }
    }

    pub(crate) fn entry_returns(&mut self, entry: usize) {
        self.entries[entry].alive = true;
        self.entries[entry].incarnation += 1;
    }

    pub(crate) fn allocator_dies(&mut self) {
        self.allocator_alive = false;
        self.allocator_life += 1;
        self.wake = None;
        let lag = self.truth.file.delays.holder_lag;
        self.after(lag, WorldEvent::AllocatorBack);
    }

    /// Another allocator starts empty; the entry instances tell it what they hold.
    pub(crate) fn allocator_back(&mut self) {
        self.allocator_alive = true;
        self.policy = (self.make)();
        self.introduce();
        for entry in 0..self.entries.len() {
            for request in self.held_by(entry) {
                self.announce(request);
            }
        }
    }

    pub(crate) fn announce(&mut self, request: RequestIndex) {
        let asked = self.admit_request(request);
        let Some(phase) = self.hold_phase(request) else {
            self.entry_tells(AdmitEvent::Submit(asked));
            return;
        };
        self.entry_tells(AdmitEvent::Announce {
            phase,
            request: asked,
        });
    }

    fn hold_phase(&self, request: RequestIndex) -> Option<AnnouncedPhase> {
        let state = &self.requests[request];
        let prefill = self.truth.readings.get(state.reading?)?.prefill;
        let prefill = self.truth.prefill_names[prefill].clone();
        match state.phase {
            EntryPhase::Decoding { decode } => Some(AnnouncedPhase::Decoding {
                decode: self.truth.decode_names[decode].clone(),
                tokens: self.tokens_so_far(request),
            }),
            EntryPhase::Prefilling { since } => Some(AnnouncedPhase::Prefilling { prefill, since }),
            EntryPhase::Read { since } => Some(AnnouncedPhase::Prefilled { prefill, since }),
            EntryPhase::Transferring { decode, since } => Some(AnnouncedPhase::Transferring {
                decode: self.truth.decode_names[decode].clone(),
                prefill,
                since,
            }),
            _ => None,
        }
    }

    fn tokens_so_far(&self, request: RequestIndex) -> u32 {
        let state = &self.requests[request];
        let Some(first) = state.first_token else {
            return 0;
        };
        let seconds = (self.now - first).as_secs_f64();
        let tokens = seconds / self.truth.file.engines.full_step();
        (tokens as u32).min(self.truth.plans[request].output_tokens)
    }
}
