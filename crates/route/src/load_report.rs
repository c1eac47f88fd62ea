//! The load of an engine, as reported by the engine.

use {
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
    std::time::Instant,
};

/// One load report. It describes the past: work sent since `taken` is not included.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Decode slots in use.
    pub decode_used: u32,
    /// Whether the engine reports that it is draining.
    pub leaving: bool,
    /// Prompt tokens queued for prefill or being prefilled.
    pub prefill_tokens: u64,
    /// When the engine created the report, converted to the clock of this process.
    pub taken: Instant,
    /// The reporting engine.
    pub upstream: UpstreamId,
}

/// Why an upstream takes no new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum LeavingCause {
    /// Calls to it failed.
    Failed,
    /// The platform's list has it as draining.
    Listed,
    /// The upstream announced it.
    Said,
}
