//! What an engine's load was a while ago.

use {
    engine::wire::engine_role::EngineRole,
    kernel::ModelId,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// The parts of a load report that change.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadMoment {
    pub(super) decode_used: u32,
    pub(super) leaving: bool,
    pub(super) models: Vec<ModelId>,
    pub(super) prefill_tokens: u64,
    pub(super) role: EngineRole,
}

/// The load by the time at which it changed, back to the lag and one change more.
#[derive(Clone, Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    moments: VecDeque<(Instant, LoadMoment)>,
}

impl LoadHistory {
    /// The load as it was before the lag; the oldest known one before that.
    pub(super) fn lagging(&self, now: Instant) -> Option<&LoadMoment> {
        for (changed, moment) in self.moments.iter().rev() {
            if *changed + self.lag <= now {
                return Some(moment);
            }
        }
        self.moments.front().map(|(_, moment)| moment)
    }

    /// An empty history.
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            moments: VecDeque::new(),
        }
    }

    /// Takes down the load if it changed.
    pub(super) fn record(&mut self, now: Instant, moment: LoadMoment) {
        if self.moments.back().is_some_and(|(_, last)| *last == moment) {
            return;
        }
        self.moments.push_back((now, moment));
        while self
            .moments
            .get(1)
            .is_some_and(|(changed, _)| *changed + self.lag <= now)
        {
            self.moments.pop_front();
        }
    }
}
