//! What is known of the load of one engine.

use std::time::Duration;

/// The load of one engine, summed over all instances that reported to the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// The age of the oldest report that the sums rest on.
    pub age: Duration,
    /// Memory of the engine, tokens; `None` until it has been learned.
    pub capacity: Option<u64>,
    /// Memory that the running streams hold, tokens.
    pub held: u64,
    /// Generation speed of one stream, tokens per second.
    pub pace: f64,
    /// The highest memory expected at any later moment, by the stated chance of overflow, tokens.
    pub peak: u64,
    /// Memory of granted places whose streams have not begun, tokens.
    pub promised: u64,
    /// Prompt tokens that are queued for prefill.
    pub queued_prefill: u64,
    /// Places in use, those granted included.
    pub streams: usize,
}
