//! What the clairvoyant policy makes of callers who will leave, and of what will die.

use {
    crate::{
        policies::clairvoyant_view::ClairvoyantView, scenario::fault_event::FaultEvent,
        world::CancelPlan,
    },
    std::time::{Duration, Instant},
};

type RequestIndex = usize;
type EngineIndex = usize;

impl ClairvoyantView<'_> {
    /// Whether the caller and the entry instance outlive the answer.
    pub(crate) fn stays(&self, request: RequestIndex, first: Instant, ends: Instant) -> bool {
        let plan = self.request(request);
        let arrived = self.truth.started + plan.arrives;
        let goes = match plan.cancel {
            CancelPlan::After(time) => arrived + time,
            CancelPlan::AfterFirstToken(time) => first + time,
            CancelPlan::Stays => ends,
        };
        goes >= ends && !self.entry_dies(plan.entry, ends)
    }

    fn entry_dies(&self, planned: usize, by: Instant) -> bool {
        self.dies(by, |fault| match fault {
            FaultEvent::EntryDies { at, entry, .. } if *entry as usize == planned => Some(*at),
            _ => None,
        })
    }

    pub(crate) fn decode_dies(&self, decode: EngineIndex, by: Instant) -> bool {
        self.engine_dies(&self.truth.decode_names[decode], by)
    }

    pub(crate) fn prefill_dies(&self, prefill: EngineIndex, by: Instant) -> bool {
        self.engine_dies(&self.truth.prefill_names[prefill], by)
    }

    fn engine_dies(&self, name: &str, by: Instant) -> bool {
        self.dies(by, |fault| match fault {
            FaultEvent::EngineDies { at, engine, .. } if &**engine == name => Some(*at),
            FaultEvent::EngineLeaves {
                at,
                engine,
                gone_after,
            } if &**engine == name => Some(*at + *gone_after),
            _ => None,
        })
    }

    fn dies(&self, by: Instant, time: impl Fn(&FaultEvent) -> Option<Duration>) -> bool {
        for fault in &self.truth.file.faults {
            let Some(at) = time(fault) else {
                continue;
            };
            let at = self.truth.started + at;
            if at >= self.now && at <= by {
                return true;
            }
        }
        false
    }
}
