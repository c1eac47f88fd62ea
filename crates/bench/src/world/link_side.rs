//! What the link and the decode engines do.

use crate::{
    policies::BenchPolicy,
    world::{
        decode_engine::StreamStep,
        progress_queue::{JobId, ProgressMark},
        reading_state::{EngineIndex, ReadingIndex, ReadingPhase},
        virtual_world::VirtualWorld,
        world_event::{EngineNote, WorldEvent},
    },
};

impl<P: BenchPolicy, F: FnMut() -> P> VirtualWorld<P, F> {
    pub(crate) fn decode_asked(&mut self, decode: EngineIndex, reading: ReadingIndex) {
        let request = self.truth.readings[reading].request;
        if self.requests[request].outcome.is_some() {
            return;
        }
        let engine = &self.truth.decodes[decode];
        if !engine.alive {
            let note = EngineNote::DecodeRefused { dead: true, decode };
            self.tell_entry(reading, note);
            return;
        }
        if !engine.has_place() {
            self.truth.readings[reading].refused = true;
            let note = EngineNote::DecodeRefused {
                dead: false,
                decode,
            };
            self.tell_entry(reading, note);
            return;
        }
        if self.truth.readings[reading].phase != ReadingPhase::Kept {
            let prefill = self.truth.readings[reading].prefill;
            let dead = !self.truth.prefills[prefill].alive;
            self.tell_entry(reading, EngineNote::KvGone { dead });
            return;
        }
        self.start_transfer(decode, reading);
    }

    fn start_transfer(&mut self, decode: EngineIndex, reading: ReadingIndex) {
        let request = self.truth.readings[reading].request;
        let tokens = f64::from(self.truth.plans[request].prompt_tokens);
        let bytes = tokens * self.truth.file.link.kv_bytes_per_token;
        self.truth.decodes[decode].held += 1;
        self.truth.link.advance(self.now);
        let mark = self.truth.link.insert(reading as JobId, bytes);
        self.truth.readings[reading].phase = ReadingPhase::Moving { decode, mark };
        self.truth.transfers += 1;
        self.schedule_link();
    }

    /// Stops a transfer; the place at the decode engine is free again.
    pub(crate) fn stop_transfer(
        &mut self,
        reading: ReadingIndex,
        decode: EngineIndex,
        mark: ProgressMark,
    ) {
        self.truth.link.advance(self.now);
        self.truth.link.remove(reading as JobId, mark);
        self.truth.transfers -= 1;
        self.truth.decodes[decode].held -= 1;
        self.schedule_link();
    }

    fn schedule_link(&mut self) {
        let share = self.truth.transfers.max(1) as f64;
        let rate = self.truth.file.link.bytes_per_second / share;
        self.truth.link.set_rate(rate);
        self.link_version += 1;
        let version = self.link_version;
        if let Some(at) = self.truth.link.next_due() {
            self.heap.push(at, WorldEvent::LinkDue { version });
        }
    }

    pub(crate) fn link_due(&mut self, version: u64) {
        if version != self.link_version {
            return;
        }
        self.truth.link.advance(self.now);
        while let Some(job) = self.truth.link.pop_due() {
            self.truth.transfers -= 1;
            self.join(job as ReadingIndex);
        }
        self.schedule_link();
    }

    fn join(&mut self, reading: ReadingIndex) {
        let ReadingPhase::Moving { decode, .. } = self.truth.readings[reading].phase else {
            return;
        };
        let request = self.truth.readings[reading].request;
        let tokens = self.truth.plans[request].output_tokens;
        self.truth.decodes[decode].join(self.now, reading, tokens);
        self.truth.readings[reading].phase = ReadingPhase::Streaming { decode };
        self.schedule_decode(decode);
    }

    pub(crate) fn schedule_decode(&mut self, decode: EngineIndex) {
        let engine = &self.truth.decodes[decode];
        let version = engine.version;
        if let Some(at) = engine.next_due() {
            self.heap
                .push(at, WorldEvent::DecodeDue { decode, version });
        }
    }

    pub(crate) fn decode_due(&mut self, decode: EngineIndex, version: u64) {
        if self.truth.decodes[decode].version != version {
            return;
        }
        self.truth.decodes[decode].advance(self.now);
        while let Some(step) = self.truth.decodes[decode].pop_due() {
            self.take_step(decode, step);
        }
        self.schedule_decode(decode);
    }

    fn take_step(&mut self, decode: EngineIndex, step: StreamStep) {
        match step {
            StreamStep::First(reading) => self.tell_entry(reading, EngineNote::FirstToken),
            StreamStep::Last(reading) => {
                self.truth.decodes[decode].leave(self.now, reading);
                self.truth.readings[reading].phase = ReadingPhase::Gone;
                self.tell_entry(reading, EngineNote::Finished);
            }
        }
    }
}
