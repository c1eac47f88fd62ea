//! What one instance tells others of a request under which an upstream ended.

use {
    crate::RequestFingerprint,
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
};

/// How much the end of an upstream tells against a request that ran there; of two marks for the same pair the greater holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum CrashMark {
    /// The upstream ended long after the request began.
    Late,
    /// The upstream ended soon after the request began.
    Early,
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
