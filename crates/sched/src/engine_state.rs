//! What the scheduler keeps of one engine.

use {
    crate::{EngineInfo, EngineMemory, LengthBelief, PlaceRequest, PrefillQueue},
    std::time::{Duration, Instant},
};

/// An engine with the work that it was given.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) info: EngineInfo,
    pub(crate) memory: EngineMemory,
    pub(crate) prefill: PrefillQueue,
}

impl EngineState {
    pub(crate) fn new(info: EngineInfo, now: Instant) -> Self {
        Self {
            info,
            memory: EngineMemory::new(),
            prefill: PrefillQueue::new(now),
        }
    }

    /// Whether the engine may decode a request at all.
    pub(crate) fn may_decode(&self, request: &PlaceRequest) -> bool {
        let matches_software = request
            .software
            .as_ref()
            .is_none_or(|software| *software == self.info.software);
        self.info.decodes
            && self.info.is_open
            && matches_software
            && !request.avoid.contains(&self.info.id)
    }

    /// Whether a request fits now.
    pub(crate) fn fits(
        &self,
        request: &PlaceRequest,
        reserve: u64,
        belief: &LengthBelief,
        now: Instant,
    ) -> bool {
        self.has_slot() && self.memory.fits(request.need.prompt, reserve, belief, now)
    }

    /// When a request is expected to fit, and to find a slot.
    pub(crate) fn fit_wait(
        &self,
        request: &PlaceRequest,
        reserve: u64,
        belief: &LengthBelief,
        now: Instant,
    ) -> Duration {
        let prompt = request.need.prompt;
        let by_memory = self.memory.fit_wait(prompt, reserve, belief, now);
        let slots = self.info.slots as usize;
        let ends = (self.memory.streams() + 1).saturating_sub(slots);
        match ends {
            0 => by_memory,
            _ => by_memory.max(self.memory.end_wait(ends, now)),
        }
    }

    fn has_slot(&self) -> bool {
        self.memory.streams() < self.info.slots as usize
    }

    /// The share of the engine that is taken at its worst moment with `tokens` more, in units of what an engine of speed
    /// `pace` offers: a slow engine holds its streams for longer.
    pub(crate) fn fullness(&self, tokens: f64, pace: f64, now: Instant) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        let by_slots = (self.memory.streams() as f64 + 1.0) / slots;
        let by_memory = match self.memory.capacity() {
            Some(capacity) => (self.memory.peak(now) as f64 + tokens) / capacity.max(1) as f64,
            None => by_slots,
        };
        by_memory.max(by_slots) * pace / self.memory.pace().max(f64::MIN_POSITIVE)
    }
}
