//! Counts the calls to the store: each one costs money, and all instances share its rate limits.

use {
    prometheus::{IntCounterVec, Opts},
    serde::Serialize,
};

/// The kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A conditional write.
    Commit,
    /// A read of rows of the system's own.
    Own,
    /// A read or a watch of the reports of crashed upstreams.
    Reports,
    /// A read of the routes.
    Routes,
    /// A read of the list of upstreams, or of one page of it.
    Upstreams,
    /// A watch of the routes.
    Watch,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// A condition did not hold.
    Conflict,
    /// It succeeded.
    Done,
    /// The answer is malformed.
    Garbled,
    /// The store no longer has the requested history.
    HistoryLost,
    /// The store refused it.
    Refused,
    /// No answer arrived, or the call was abandoned.
    Silent,
}

/// The reason for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallReason {
    /// An upstream crashed while running a request.
    Crash,
    /// The directory of instances is updated.
    Directory,
    /// A lease is acquired or renewed.
    Lease,
    /// Notes of streams are written or read.
    Notes,
    /// A periodic call is due.
    Period,
    /// The previous call failed.
    Retry,
    /// The process starts.
    Start,
    /// A watch waits for changes.
    Watch,
}

/// The counters. Clones share them.
#[derive(Clone, Debug)]
pub struct StoreCalls {
    counts: IntCounterVec,
}

/// Counts a call when it ends, including one that is cancelled.
#[derive(Debug)]
pub struct StoreCall<'a> {
    calls: &'a StoreCalls,
    kind: CallKind,
    /// Its outcome so far.
    pub outcome: CallOutcome,
    reason: CallReason,
}

impl Drop for StoreCall<'_> {
    fn drop(&mut self) {
        self.calls.note(self.kind, self.reason, self.outcome);
    }
}

/// One row of the state dump.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StoreCallRow {
    /// The number of calls.
    pub count: u64,
    /// The kind of the calls.
    pub kind: String,
    /// Their outcome.
    pub outcome: String,
    /// Their reason.
    pub reason: String,
}

/// The label names, in the order of their values.
const LABELS: [&str; 3] = ["kind", "reason", "outcome"];

impl CallKind {
    /// The label value in metrics.
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
    /// The label value in metrics.
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
    /// The label value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::Directory => "directory",
            Self::Lease => "lease",
            Self::Notes => "notes",
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
            counts: counts.expect("the name and the labels of a metric are valid"),
        }
    }

    /// Starts a call, which is silent until its outcome is set.
    pub fn start(&self, kind: CallKind, reason: CallReason) -> StoreCall<'_> {
        StoreCall {
            calls: self,
            kind,
            outcome: CallOutcome::Silent,
            reason,
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

    /// The counters for the state dump.
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
