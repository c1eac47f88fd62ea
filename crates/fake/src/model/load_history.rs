//! Past load of an engine, for stale load reports.

use {
    engine::wire::engine_role::EngineRole,
    kernel::ModelId,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Variable part of a load report.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadSnapshot {
    pub(super) decode_used: u32,
    pub(super) leaving: bool,
    pub(super) models: Vec<ModelId>,
    pub(super) prefill_tokens: u64,
    pub(super) role: EngineRole,
}

/// Load by time of change. Covers the lag and the last change before it.
#[derive(Clone, Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    snapshots: VecDeque<(Instant, LoadSnapshot)>,
}

impl LoadHistory {
    /// Load as of `lag` ago, or the oldest recorded load if the history is shorter.
    pub(super) fn delayed(&self, now: Instant) -> Option<&LoadSnapshot> {
        for (changed_at, snapshot) in self.snapshots.iter().rev() {
            if *changed_at + self.lag <= now {
                return Some(snapshot);
            }
        }
        self.snapshots.front().map(|(_, snapshot)| snapshot)
    }

    /// Creates an empty history.
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            snapshots: VecDeque::new(),
        }
    }

    /// Records the load if it changed.
    pub(super) fn record(&mut self, now: Instant, snapshot: LoadSnapshot) {
        if self
            .snapshots
            .back()
            .is_some_and(|(_, last)| *last == snapshot)
        {
            return;
        }
        self.snapshots.push_back((now, snapshot));
        while self
            .snapshots
            .get(1)
            .is_some_and(|(changed_at, _)| *changed_at + self.lag <= now)
        {
            self.snapshots.pop_front();
        }
    }
}
