//! What an engine says of its load.

use {
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
    std::time::Instant,
};

/// One load report, as it arrived. It tells the past: what was sent since `taken` is not in it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Decode places in use.
    pub decode_used: u32,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// Prompt tokens that wait to be read or are being read.
    pub prefill_tokens: u64,
    /// When the engine took the report, by this process's clock.
    pub taken: Instant,
    /// The engine.
    pub upstream: UpstreamId,
}

/// Why an upstream takes no new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum LeavingCause {
    /// Calls to it failed.
    Failed,
    /// The platform's list says so.
    Listed,
    /// The upstream said so itself.
    Said,
}
