//! Counts the calls to the store: each is paid for, and its rates are shared by all instances.

use {
    prometheus::{IntCounterVec, Opts},
    serde::Serialize,
};

/// Which call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A write under conditions.
    Commit,
    /// A reading of rows of the system's own.
    Own,
    /// A reading or a watch of the reports of ended upstreams.
    Reports,
    /// A reading of the routes.
    Routes,
    /// A reading of the list of upstreams, or of one page of it.
    Upstreams,
    /// A watch of the routes.
    Watch,
}

/// How it ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// A condition did not hold.
    Conflict,
    /// It was carried out.
    Done,
    /// The answer can't be read.
    Garbled,
    /// The history asked for is gone.
    HistoryLost,
    /// The store refused it.
    Refused,
    /// No answer came, or none was waited for any more.
    Silent,
}

/// Why it was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallReason {
    /// An upstream ended under a request.
    Crash,
    /// The directory of instances is kept.
    Directory,
    /// A lease is held.
    Lease,
    /// The period is over.
    Period,
    /// The call before it failed.
    Retry,
    /// The process starts.
    Start,
    /// Changes are waited for.
    Watch,
}

/// The counters. Clones share them.
#[derive(Clone, Debug)]
pub struct StoreCalls {
    counts: IntCounterVec,
}

/// One row of the account.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StoreCallRow {
    /// How many.
    pub count: u64,
    /// Which call.
    pub kind: String,
    /// How they ended.
    pub outcome: String,
    /// Why they were made.
    pub reason: String,
}

/// The names of the labels, in the order of their values.
const LABELS: [&str; 3] = ["kind", "reason", "outcome"];

impl CallKind {
    /// The word for it in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Commit => "commit",
            Self::Own => "own",
            Self::Reports => "reports",
            Self::Routes => "routes",
            Self::Upstreams => "upstreams",
            Self::Watch => "watch",
        }
    }
}

impl CallOutcome {
    /// The word for it in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::Done => "done",
            Self::Garbled => "garbled",
            Self::HistoryLost => "history_lost",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

impl CallReason {
    /// The word for it in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::Directory => "directory",
            Self::Lease => "lease",
            Self::Period => "period",
            Self::Retry => "retry",
            Self::Start => "start",
            Self::Watch => "watch",
        }
    }
}

impl StoreCalls {
    /// The counters as a metric.
    pub fn metric(&self) -> &IntCounterVec {
        &self.counts
    }

    /// Counters at zero.
    pub fn new() -> Self {
        let options = Opts::new(
            "trestlewalk_relay_store_calls_total",
            "Calls to the store by kind, reason and outcome.",
        );
        let counts = IntCounterVec::new(options, &LABELS);
        Self {
            counts: counts.expect("the name and the labels of a metric are well formed"),
        }
    }

    /// Counts a call.
    pub fn note(&self, kind: CallKind, reason: CallReason, outcome: CallOutcome) {
        let values = [kind.label(), reason.label(), outcome.label()];
        self.counts.with_label_values(&values).inc();
        tracing::debug!(
            kind = kind.label(),
            reason = reason.label(),
            outcome = outcome.label(),
            "store call"
        );
    }

    /// What was counted, for the state dump.
    pub fn rows(&self) -> Vec<StoreCallRow> {
        use prometheus::core::Collector;
        let mut rows = Vec::new();
        for family in self.counts.collect() {
            for metric in family.get_metric() {
                let value = |name: &str| {
                    let mut labels = metric.get_label().iter();
                    let label = labels.find(|label| label.name() == name);
                    label.map_or_else(String::new, |label| label.value().to_owned())
                };
                rows.push(StoreCallRow {
                    count: metric.get_counter().get_value() as u64,
                    kind: value("kind"),
                    outcome: value("outcome"),
                    reason: value("reason"),
                });
            }
        }
        rows
    }
}

impl Default for StoreCalls {
    fn default() -> Self {
        Self::new()
    }
}
