//! What one instance tells others of a request under which an upstream ended.

use {
    crate::RequestFingerprint,
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How much the end of an upstream tells against a request that ran there; of two marks for the same pair the greater holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashMark {
    /// The upstream ended long after the request began.
    Late,
    /// The upstream ended soon after the request began.
    Early,
    /// The request was answered in full since then.
    Cleared,
}

/// A request ran at an upstream when that ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// What it tells.
    pub mark: CrashMark,
    /// The life of the upstream.
    pub upstream: UpstreamId,
}

/// A report, and how long ago it was made. Clocks of instances differ, so times travel as ages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgedReport {
    /// How long ago, as far as is known.
    pub age: Duration,
    /// The report.
    pub report: CrashReport,
}

impl AgedReport {
    /// A report that is made now.
    pub fn new(report: CrashReport) -> Self {
        Self {
            age: Duration::ZERO,
            report,
        }
    }
}
