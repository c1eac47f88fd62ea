//! The counters of the request path.

use {
    kernel::ResultCode,
    prometheus::{IntCounter, IntCounterVec, Opts, Registry},
};

/// Counters, registered with the metrics of the process.
#[derive(Clone, Debug)]
pub struct RelayCounts {
    /// Requests by result code.
    pub results: IntCounterVec,
    /// Repeated calls to upstreams.
    pub retries: IntCounter,
    /// Repeated calls that the budget did not allow.
    pub retries_refused: IntCounter,
}

impl RelayCounts {
    /// Counters at zero.
    ///
    /// # Panics
    ///
    /// Never: the names are constants of the form that the library asks for.
    pub fn new() -> Self {
        let counter = |name: &str, help: &str| {
            IntCounter::new(name, help).expect("the name of a counter is well formed")
        };
        let results = IntCounterVec::new(
            Opts::new(
                "trestlewalk_relay_results_total",
                "Requests by result code.",
            ),
            &["code"],
        );
        Self {
            results: results.expect("the name of a counter is well formed"),
            retries: counter(
                "trestlewalk_relay_retries_total",
                "Repeated calls to upstreams.",
            ),
            retries_refused: counter(
                "trestlewalk_relay_retries_refused_total",
                "Repeated calls that the retry budget did not allow.",
            ),
        }
    }

    /// Counts a result.
    pub fn note(&self, code: ResultCode) {
        let label = code.number().to_string();
        self.results.with_label_values(&[&label]).inc();
    }

    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// The registry has one of them already.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.results.clone()))?;
        registry.register(Box::new(self.retries.clone()))?;
        registry.register(Box::new(self.retries_refused.clone()))
    }
}

impl Default for RelayCounts {
    fn default() -> Self {
        Self::new()
    }
}
