//! What the clairvoyant policy makes of the urgent requests that will arrive.

use {
    crate::policies::clairvoyant_view::ClairvoyantView,
    std::time::{Duration, Instant},
};

type RequestIndex = usize;
type EngineIndex = usize;

/// How far ahead patient work looks for urgent requests that need its place.
const FORESEEN: Duration = Duration::from_secs(2);

impl ClairvoyantView<'_> {
    /// Whether reading up to `read` at `prefill` harms no urgent request that is known to arrive.
    pub(crate) fn leaves_room(
        &self,
        request: RequestIndex,
        prefill: EngineIndex,
        read: Instant,
        promised: usize,
    ) -> bool {
        let patient = self.mix(request).first_token.is_none();
        let until = read.max(self.now + FORESEEN);
        let mut places = promised + 1;
        for later in self.arrivals(until) {
            let Some(target) = self.mix(later).first_token else {
                continue;
            };
            let arrives = self.truth.started + self.request(later).arrives;
            let latest = arrives + target - self.rest(later, self.least_step()).min(target);
            if patient && arrives <= self.now + FORESEEN {
                places += 1;
                if self.places_by(latest) < places {
                    return false;
                }
            }
            let shorter = self.request(later).prompt_tokens < self.request(request).prompt_tokens;
            if shorter && arrives < read && !self.other_engine(later, prefill, read, latest) {
                return false;
            }
        }
        true
    }

    /// Requests that arrive after now and up to a time.
    fn arrivals(&self, until: Instant) -> std::ops::Range<RequestIndex> {
        let plans = &self.truth.plans;
        let now = self.now - self.truth.started;
        let until = until - self.truth.started;
        let first = plans.partition_point(|plan| plan.arrives <= now);
        let last = plans.partition_point(|plan| plan.arrives <= until);
        first..last
    }

    /// Whether a later request can still be read in time although `prefill` is taken up to `read`.
    fn other_engine(
        &self,
        later: RequestIndex,
        prefill: EngineIndex,
        read: Instant,
        latest: Instant,
    ) -> bool {
        let reads = self.usual_reading(later);
        for (index, engine) in self.truth.prefills.iter().enumerate() {
            let free = match (index == prefill, engine.turn) {
                (true, _) => read,
                (false, Some(turn)) => turn.ends,
                (false, None) => self.now,
            };
            if engine.alive && free + reads <= latest {
                return true;
            }
        }
        false
    }
}
