//! One word on whether an upstream is leaving.

use {
    crate::load_report::LeavingCause,
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
    std::time::SystemTime,
};

/// Says that an upstream is leaving, or that it is back, by one cause at one time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingMark {
    /// When this was seen, by the clock of the instance that saw it.
    pub at: SystemTime,
    /// How it was seen.
    pub cause: LeavingCause,
    /// Whether the upstream is leaving; `false` takes an earlier mark of the cause back.
    pub leaving: bool,
    /// The upstream.
    pub upstream: UpstreamId,
}
