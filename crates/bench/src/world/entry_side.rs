//! What entry instances do.

use {
    crate::{
        policies::BenchPolicy,
        world::{
            reading_state::{EngineIndex, ReadingIndex, ReadingState},
            request_plan::CancelPlan,
            request_state::{EntryPhase, RequestIndex, RequestOutcome},
            token_ledger::WasteCause,
            virtual_world::VirtualWorld,
            world_event::{EngineName, EngineNote, WorldEvent},
        },
    },
    admit::{AdmitAction, AdmitEvent, AdmitRequest, RequestKey},
    route::load_report::LeavingCause,
};

impl<P: BenchPolicy, F: FnMut() -> P> VirtualWorld<P, F> {
    pub(crate) fn arrives(&mut self, request: RequestIndex) {
        let planned = self.requests[request].entry;
        let Some(entry) = self.living_entry(planned) else {
            self.end(request, RequestOutcome::Broken);
            return;
        };
        self.requests[request].entry = entry;
        if let CancelPlan::After(time) = self.truth.plans[request].cancel {
            self.after(time, WorldEvent::CallerGoes(request));
        }
        self.submit(request);
    }

    fn living_entry(&self, planned: usize) -> Option<usize> {
        let count = self.entries.len();
        (0..count)
            .map(|step| (planned + step) % count)
            .find(|entry| self.entries[*entry].alive)
    }

    /// Starts an attempt.
    fn submit(&mut self, request: RequestIndex) {
        let serial = self.truth.attempts.len() as u64;
        self.truth.attempts.push(request);
        let state = &mut self.requests[request];
        state.serial = serial;
        state.phase = EntryPhase::Waiting;
        state.reading = None;
        let asked = self.admit_request(request);
        self.entry_tells(AdmitEvent::Submit(asked));
    }

    pub(crate) fn admit_request(&self, request: RequestIndex) -> AdmitRequest {
        let plan = &self.truth.plans[request];
        let mix = &self.truth.file.rows[plan.row];
        AdmitRequest {
            arrived: self.requests[request].arrived,
            key: self.key(request),
            max_tokens: mix.output.most,
            prefix: plan.prefix.clone(),
            prompt_tokens: plan.prompt_tokens,
            work: mix.work.clone(),
        }
    }

    pub(crate) fn key(&self, request: RequestIndex) -> RequestKey {
        let state = &self.requests[request];
        let entry = &self.entries[state.entry];
        RequestKey {
            incarnation: entry.incarnation,
            instance: entry.name.clone(),
            serial: state.serial,
        }
    }

    pub(crate) fn entry_tells(&mut self, event: AdmitEvent) {
        let delay = self.truth.file.delays.allocator;
        self.tell_allocator(delay, event);
    }

    pub(crate) fn end(&mut self, request: RequestIndex, outcome: RequestOutcome) {
        let state = &mut self.requests[request];
        state.outcome = Some(outcome);
        state.phase = EntryPhase::Ended;
    }

    pub(crate) fn caller_goes(&mut self, request: RequestIndex) {
        if self.requests[request].outcome.is_some() {
            return;
        }
        let key = self.key(request);
        self.end(request, RequestOutcome::Cancelled);
        self.entry_tells(AdmitEvent::Cancel { key });
        self.drop_reading(request, WasteCause::CallerGone);
    }

    fn drop_reading(&mut self, request: RequestIndex, cause: WasteCause) {
        let Some(reading) = self.requests[request].reading else {
            return;
        };
        let delay = self.truth.file.delays.engine;
        self.after(delay, WorldEvent::EngineCancels { cause, reading });
    }

    pub(crate) fn entry_hears(&mut self, action: AdmitAction) {
        match action {
            AdmitAction::GrantDecode { decode, key } => {
                let Some(request) = self.known(&key) else {
                    return;
                };
                self.ask_decode(request, &decode);
            }
            AdmitAction::GrantPrefill { key, prefill } => {
                let Some(request) = self.known(&key) else {
                    return;
                };
                self.ask_prefill(request, &prefill);
            }
            AdmitAction::Refuse { key, .. } => {
                let Some(request) = self.known(&key) else {
                    return;
                };
                self.refused(request);
            }
            AdmitAction::Resync { key } => match self.known(&key) {
                Some(request) => self.announce(request),
                None => self.entry_tells(AdmitEvent::Cancel { key }),
            },
            AdmitAction::WakeAt(_) => {}
        }
    }

    /// The request of a key, if that attempt still counts.
    fn known(&self, key: &RequestKey) -> Option<RequestIndex> {
        let request = *self.truth.attempts.get(key.serial as usize)?;
        let state = &self.requests[request];
        if state.outcome.is_some() || self.key(request) != *key {
            return None;
        }
        Some(request)
    }

    fn ask_prefill(&mut self, request: RequestIndex, prefill: &str) {
        match self.requests[request].phase {
            EntryPhase::Waiting => {}
            // The allocator took the engine that reads as gone; the later grant counts.
            EntryPhase::Prefilling { .. } => self.drop_reading(request, WasteCause::UpstreamDied),
            _ => return,
        }
        let Some(EngineName::Prefill(prefill)) = self.truth.engine(prefill) else {
            let key = self.key(request);
            let prefill = prefill.into();
            self.entry_tells(AdmitEvent::PrefillFailed {
                is_unavailable: true,
                key,
                prefill,
            });
            return;
        };
        let reading = self.truth.readings.len();
        self.truth
            .readings
            .push(ReadingState::new(request, prefill));
        self.truth.current[request] = Some(reading);
        let state = &mut self.requests[request];
        state.phase = EntryPhase::Prefilling { since: self.now };
        state.reading = Some(reading);
        let delay = self.truth.file.delays.engine;
        self.after(delay, WorldEvent::PrefillAsked(reading));
    }

    fn ask_decode(&mut self, request: RequestIndex, decode: &str) {
        let EntryPhase::Read { .. } = self.requests[request].phase else {
            return;
        };
        let Some(reading) = self.requests[request].reading else {
            return;
        };
        let Some(EngineName::Decode(decode)) = self.truth.engine(decode) else {
            let key = self.key(request);
            self.entry_tells(AdmitEvent::DecodeRefused { key });
            return;
        };
        let since = self.now;
        self.requests[request].phase = EntryPhase::Transferring { decode, since };
        let delay = self.truth.file.delays.engine;
        self.after(delay, WorldEvent::DecodeAsked { decode, reading });
    }

    fn refused(&mut self, request: RequestIndex) {
        // What was dispatched to a decode engine can't be refused as not run any more.
        if let EntryPhase::Transferring { .. } | EntryPhase::Decoding { .. } =
            self.requests[request].phase
        {
            return;
        }
        self.end(request, RequestOutcome::Refused);
        self.drop_reading(request, WasteCause::Other);
    }

    pub(crate) fn entry_noted(&mut self, note: EngineNote, reading: ReadingIndex) {
        let request = self.truth.readings[reading].request;
        let state = &self.requests[request];
        if state.outcome.is_some() || state.reading != Some(reading) {
            if note == EngineNote::Finished {
                self.close_wasted(reading, WasteCause::CallerGone);
            }
            return;
        }
        match note {
            EngineNote::DecodeLost { decode } => self.note_decode_lost(request, decode),
            EngineNote::DecodeRefused { dead, decode } => {
                self.note_decode_refused(request, decode, dead);
            }
            EngineNote::Finished => self.note_finished(request, reading),
            EngineNote::FirstToken => self.note_first_token(request),
            EngineNote::KvGone { dead } => self.note_kv_gone(request, reading, dead),
            EngineNote::PrefillDone => {
                self.requests[request].phase = EntryPhase::Read { since: self.now };
                let key = self.key(request);
                let prefill = EngineName::Prefill(self.truth.readings[reading].prefill);
                let prefill = self.truth.upstream(prefill);
                self.entry_tells(AdmitEvent::PrefillDone { key, prefill });
            }
            EngineNote::PrefillFailed => {
                let engine = EngineName::Prefill(self.truth.readings[reading].prefill);
                let prefill = self.truth.upstream(engine);
                self.note_failed_call(engine);
                self.wait_again(request);
                let key = self.key(request);
                self.entry_tells(AdmitEvent::PrefillFailed {
                    is_unavailable: true,
                    key,
                    prefill,
                });
            }
        }
    }

    fn wait_again(&mut self, request: RequestIndex) {
        let state = &mut self.requests[request];
        state.phase = EntryPhase::Waiting;
        state.reading = None;
    }

    fn note_failed_call(&mut self, engine: EngineName) {
        let upstream = self.truth.upstream(engine);
        self.entry_tells(AdmitEvent::UpstreamDraining(upstream, LeavingCause::Failed));
    }

    fn note_decode_lost(&mut self, request: RequestIndex, decode: EngineIndex) {
        let key = self.key(request);
        let unseen = self.requests[request].first_token.is_none();
        self.note_failed_call(EngineName::Decode(decode));
        self.entry_tells(AdmitEvent::DecodeLost { key });
        let mix = &self.truth.file.rows[self.truth.plans[request].row];
        let repeat = mix.repeat && unseen && self.requests[request].retries > 0;
        if !repeat {
            self.end(request, RequestOutcome::Broken);
            return;
        }
        self.requests[request].retries -= 1;
        self.submit(request);
    }

    fn note_decode_refused(&mut self, request: RequestIndex, decode: EngineIndex, dead: bool) {
        let key = self.key(request);
        if dead {
            self.note_failed_call(EngineName::Decode(decode));
        }
        self.entry_tells(AdmitEvent::DecodeRefused { key });
        self.requests[request].phase = EntryPhase::Read { since: self.now };
    }

    fn note_finished(&mut self, request: RequestIndex, reading: ReadingIndex) {
        let key = self.key(request);
        let output_tokens = self.truth.plans[request].output_tokens;
        self.close_delivered(reading);
        self.requests[request].finished = Some(self.now);
        self.end(request, RequestOutcome::Answered);
        self.entry_tells(AdmitEvent::Finished { key, output_tokens });
    }

    fn note_first_token(&mut self, request: RequestIndex) {
        let EntryPhase::Transferring { decode, .. } = self.requests[request].phase else {
            return;
        };
        let state = &mut self.requests[request];
        state.first_token = Some(self.now);
        state.phase = EntryPhase::Decoding { decode };
        if let CancelPlan::AfterFirstToken(time) = self.truth.plans[request].cancel {
            self.after(time, WorldEvent::CallerGoes(request));
        }
        let key = self.key(request);
        self.entry_tells(AdmitEvent::FirstToken { key });
    }

    fn note_kv_gone(&mut self, request: RequestIndex, reading: ReadingIndex, dead: bool) {
        if dead {
            let prefill = self.truth.readings[reading].prefill;
            self.note_failed_call(EngineName::Prefill(prefill));
        }
        self.wait_again(request);
        let key = self.key(request);
        self.entry_tells(AdmitEvent::KvEvicted { key });
    }
}
