//! The metrics of decode places that schedulers give.

use {
    crate::relay_counts::counters,
    prometheus::{IntCounterVec, Registry},
};

/// How asking for a place ended; each is exposed from the start.
const OUTCOMES: [&str; 6] = [
    "asked",
    "elsewhere",
    "granted",
    "refused",
    "rejected",
    "unanswered",
];

/// The counters. Clones share them.
#[derive(Clone, Debug)]
pub struct PlaceCounts {
    outcomes: IntCounterVec,
}

impl PlaceCounts {
    /// Counters at zero.
    pub fn new() -> Self {
        let outcomes = counters(
            "trestlewalk_relay_places_total",
            "Decode places that the scheduler was asked for, by what became of them.",
            &["outcome"],
        );
        for outcome in OUTCOMES {
            outcomes.with_label_values(&[outcome]);
        }
        Self { outcomes }
    }

    /// Counts an outcome.
    pub fn note(&self, outcome: PlaceOutcome) {
        self.outcomes.with_label_values(&[outcome.label()]).inc();
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry already has one of them.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.outcomes.clone()))
    }
}

impl Default for PlaceCounts {
    fn default() -> Self {
        Self::new()
    }
}

/// What became of a request for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceOutcome {
    /// A scheduler was asked.
    Asked,
    /// It named another availability zone.
    Elsewhere,
    /// It gave a place.
    Granted,
    /// It refused.
    Refused,
    /// The engine refused the place that the scheduler gave.
    Rejected,
    /// No scheduler decided, so the instance chose by its own view.
    Unanswered,
}

impl PlaceOutcome {
    /// The label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Asked => "asked",
            Self::Elsewhere => "elsewhere",
            Self::Granted => "granted",
            Self::Refused => "refused",
            Self::Rejected => "rejected",
            Self::Unanswered => "unanswered",
        }
    }
}
