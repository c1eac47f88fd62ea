//! What prefill engines do.

use {
    crate::{
        policies::BenchPolicy,
        world::{
            prefill_engine::ReadingTurn,
            reading_state::{EngineIndex, ReadingIndex, ReadingPhase},
            token_ledger::WasteCause,
            virtual_world::VirtualWorld,
            world_event::{EngineNote, WorldEvent},
        },
    },
    admit::AdmitEvent,
    rand::RngExt,
};

impl<P: BenchPolicy, F: FnMut() -> P> VirtualWorld<P, F> {
    pub(crate) fn tell_entry(&mut self, reading: ReadingIndex, note: EngineNote) {
        let delay = self.truth.file.delays.engine;
        self.after(delay, WorldEvent::EntryNoted { note, reading });
    }

    pub(crate) fn prefill_asked(&mut self, reading: ReadingIndex) {
        let prefill = self.truth.readings[reading].prefill;
        if !self.truth.prefills[prefill].alive {
            self.close_wasted(reading, WasteCause::UpstreamDied);
            self.tell_entry(reading, EngineNote::PrefillFailed);
            return;
        }
        self.truth.prefills[prefill].queue.push_back(reading);
        self.start_turn(prefill);
    }

    pub(crate) fn start_turn(&mut self, prefill: EngineIndex) {
        if self.truth.prefills[prefill].turn.is_some() {
            return;
        }
        let Some(reading) = self.truth.prefills[prefill].queue.pop_front() else {
            return;
        };
        let request = self.truth.readings[reading].request;
        let tokens = self.truth.uncached_tokens(prefill, request);
        let engine = &mut self.truth.prefills[prefill];
        let ends = self.now + engine.reading_time(tokens);
        engine.turn = Some(ReadingTurn {
            ends,
            reading,
            since: self.now,
            tokens,
        });
        self.truth.readings[reading].phase = ReadingPhase::Reading;
        self.heap
            .push(ends, WorldEvent::PrefillDue { prefill, reading });
    }

    /// Ends the turn of an engine, whether or not the prompt was read to its end.
    pub(crate) fn stop_turn(&mut self, prefill: EngineIndex) -> Option<ReadingIndex> {
        let turn = self.truth.prefills[prefill].turn.take()?;
        let tokens = turn.tokens_read(self.now);
        self.truth.readings[turn.reading].tokens = tokens;
        self.ledger.read += u64::from(tokens);
        Some(turn.reading)
    }

    pub(crate) fn prefill_due(&mut self, prefill: EngineIndex, reading: ReadingIndex) {
        let turn = self.truth.prefills[prefill].turn;
        if turn.is_none_or(|turn| turn.reading != reading) {
            return;
        }
        self.stop_turn(prefill);
        self.truth.readings[reading].phase = ReadingPhase::Kept;
        let eviction = self.truth.file.link.eviction;
        self.after(eviction, WorldEvent::KvEvicts(reading));
        self.tell_entry(reading, EngineNote::PrefillDone);
        self.keep_blocks(prefill, reading);
        self.start_turn(prefill);
    }

    fn keep_blocks(&mut self, prefill: EngineIndex, reading: ReadingIndex) {
        let request = self.truth.readings[reading].request;
        let prefix = &self.truth.plans[request].prefix;
        let (stored, evicted) = self.truth.prefills[prefill].cache.store(prefix);
        let missed = self.rng.random::<f64>() < self.truth.file.delays.cache_gaps;
        if missed && !P::EXACT {
            return;
        }
        let upstream = self.truth.prefill_names[prefill].clone();
        let delay = self.truth.file.delays.cache_lag;
        let event = AdmitEvent::CacheEvents {
            evicted,
            stored,
            upstream,
        };
        self.tell_allocator(delay, event);
    }

    pub(crate) fn kv_evicts(&mut self, reading: ReadingIndex) {
        if self.truth.readings[reading].phase != ReadingPhase::Kept {
            return;
        }
        let full = self
            .truth
            .decodes
            .iter()
            .all(|engine| !engine.alive || !engine.has_place());
        let cause = match full || self.truth.readings[reading].refused {
            true => WasteCause::NoPlace,
            false => WasteCause::Evicted,
        };
        self.close_wasted(reading, cause);
        self.tell_entry(reading, EngineNote::KvGone { dead: false });
    }

    pub(crate) fn engine_cancels(&mut self, reading: ReadingIndex, cause: WasteCause) {
        let prefill = self.truth.readings[reading].prefill;
        match self.truth.readings[reading].phase {
            ReadingPhase::Gone | ReadingPhase::Kept => {}
            ReadingPhase::Moving { decode, mark } => self.stop_transfer(reading, decode, mark),
            ReadingPhase::Queued => {
                let queue = &mut self.truth.prefills[prefill].queue;
                queue.retain(|queued| *queued != reading);
            }
            ReadingPhase::Reading => {
                self.stop_turn(prefill);
                self.start_turn(prefill);
            }
            ReadingPhase::Streaming { decode } => {
                self.truth.decodes[decode].leave(self.now, reading);
                self.schedule_decode(decode);
            }
        }
        self.close_wasted(reading, cause);
    }
}
