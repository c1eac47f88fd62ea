//! Reports of requests that were running at an upstream when it crashed, as exchanged between instances.

use {
    crate::SuspectId,
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How strongly a crash suggests that a request caused it. Of two marks for the same request and upstream the greater
/// wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashMark {
    /// The upstream crashed long after the request started.
    Late,
    /// The upstream crashed soon after the request started.
    Early,
    /// The request has been answered in full since, so it is no longer suspect.
    Cleared,
}

/// States that a request was running at an upstream when the upstream crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The suspected request.
    pub suspect: SuspectId,
    /// How suspect the request is.
    pub mark: CrashMark,
    /// The upstream; each restart has its own id.
    pub upstream: UpstreamId,
}

/// A report with its age. The clocks of instances differ, so ages are exchanged instead of timestamps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgedReport {
    /// The time since the crash, as far as known.
    pub age: Duration,
    /// The report itself.
    pub report: CrashReport,
}

impl AgedReport {
    /// Creates a report of age zero.
    pub fn new(report: CrashReport) -> Self {
        Self {
            age: Duration::ZERO,
            report,
        }
    }
}
