//! Metrics of the request path.

use {
    kernel::ResultCode,
    prometheus::{
        Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        core::Collector, exponential_buckets,
    },
    std::{collections::BTreeMap, time::Duration},
};

const WORK_LABEL: &str = "work";

/// Counters and histograms of the request path.
#[derive(Debug)]
pub struct FlowMetrics {
    /// Seconds between consecutive tokens.
    pub between_tokens: Histogram,
    /// Streams cancelled on engines.
    pub cancels: IntCounter,
    /// Final answers by result code and kind of work.
    pub ended: IntCounterVec,
    /// Seconds from a request's arrival to its first token.
    pub first_token: Histogram,
    /// Requests without a final answer.
    pub open: IntGauge,
    /// Prompt tokens prefilled.
    pub prefill_tokens: IntCounter,
    /// Tokens relayed.
    pub tokens: IntCounter,
    /// Prompt tokens prefilled for requests without a delivered answer, by cause.
    pub wasted_tokens: IntCounterVec,
}

impl FlowMetrics {
    /// Counts one final answer.
    pub fn count_end(&self, code: ResultCode, work: &str) {
        self.ended
            .with_label_values(&[&code.number().to_string(), work])
            .inc();
    }

    /// Records the time to the first token.
    pub fn note_first_token(&self, elapsed: Duration) {
        self.first_token.observe(elapsed.as_secs_f64());
    }

    /// Creates all metrics with a value of zero.
    ///
    /// # Errors
    ///
    /// Returns the metrics library's error if a name is invalid.
    pub fn new() -> Result<Self, prometheus::Error> {
        let first_buckets = exponential_buckets(0.005, 1.6, 18)?;
        let between_buckets = exponential_buckets(0.001, 1.5, 16)?;
        Ok(Self {
            between_tokens: histogram(
                "trestlewalk_between_tokens_seconds",
                "Seconds from one token to the next.",
                between_buckets,
            )?,
            cancels: IntCounter::new("trestlewalk_cancels_total", "Streams cancelled at engines.")?,
            ended: IntCounterVec::new(
                Opts::new("trestlewalk_requests_total", "Final answers."),
                &["code", WORK_LABEL],
            )?,
            first_token: histogram(
                "trestlewalk_first_token_seconds",
                "Seconds from arrival to first token.",
                first_buckets,
            )?,
            open: IntGauge::new(
                "trestlewalk_open_requests",
                "Requests without a final answer.",
            )?,
            prefill_tokens: IntCounter::new(
                "trestlewalk_prefill_tokens_total",
                "Prompt tokens read.",
            )?,
            tokens: IntCounter::new("trestlewalk_tokens_total", "Tokens relayed.")?,
            wasted_tokens: IntCounterVec::new(
                Opts::new(
                    "trestlewalk_wasted_prefill_tokens_total",
                    "Prompt tokens read in vain.",
                ),
                &["cause", WORK_LABEL],
            )?,
        })
    }

    /// Wasted prompt tokens by kind of work.
    pub fn wasted_by_work(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for family in self.wasted_tokens.collect() {
            for metric in family.get_metric() {
                let mut labels = metric.get_label().iter();
                let Some(work) = labels.find(|label| label.name() == WORK_LABEL) else {
                    continue;
                };
                *sums.entry(work.value().to_owned()).or_default() +=
                    metric.get_counter().get_value() as u64;
            }
        }
        sums
    }

    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns the metrics library's error if a name is already registered.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.between_tokens.clone()))?;
        registry.register(Box::new(self.cancels.clone()))?;
        registry.register(Box::new(self.ended.clone()))?;
        registry.register(Box::new(self.first_token.clone()))?;
        registry.register(Box::new(self.open.clone()))?;
        registry.register(Box::new(self.prefill_tokens.clone()))?;
        registry.register(Box::new(self.tokens.clone()))?;
        registry.register(Box::new(self.wasted_tokens.clone()))
    }
}

fn histogram(name: &str, help: &str, buckets: Vec<f64>) -> Result<Histogram, prometheus::Error> {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))
}
