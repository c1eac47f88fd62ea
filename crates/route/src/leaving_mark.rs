//! An observation of whether an upstream takes new work.

use {
    crate::load_report::LeavingCause,
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
    std::time::SystemTime,
};

/// States that an upstream takes no new work, or takes it again, for one cause at one time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingMark {
    /// When it was observed, by the clock of the observing instance.
    pub at: SystemTime,
    /// How it was observed.
    pub cause: LeavingCause,
    /// Whether the upstream takes no new work; `false` revokes an earlier mark of the same cause.
    pub leaving: bool,
    /// The upstream that the mark is about.
    pub upstream: UpstreamId,
}
