//! Counters of the searches for the KV caches of prompts.

use {
    crate::{SearchOutcome, relay_counts::counters},
    prometheus::{IntCounterVec, Registry},
};

/// Searches by outcome. Clones share the counters.
#[derive(Clone, Debug)]
pub struct SearchCounts {
    searches: IntCounterVec,
}

impl SearchCounts {
    /// Counters at zero.
    pub fn new() -> Self {
        let searches = counters(
            "trestlewalk_relay_prompt_searches_total",
            "Searches for engines that hold a prompt, by what the engines answered in time.",
            &["outcome"],
        );
        for outcome in SearchOutcome::ALL {
            searches.with_label_values(&[outcome.label()]);
        }
        Self { searches }
    }

    /// Counts a search.
    pub fn note(&self, outcome: SearchOutcome) {
        self.searches.with_label_values(&[outcome.label()]).inc();
    }

    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// The registry already has them.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.searches.clone()))
    }
}

impl Default for SearchCounts {
    fn default() -> Self {
        Self::new()
    }
}
