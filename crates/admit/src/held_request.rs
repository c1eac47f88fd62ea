//! One request that the allocator knows.

use {
    crate::{
        admit_request::AdmitRequest, pool_key::PoolKey, queue_position::QueuePosition,
        request_phase::RequestPhase,
    },
    kernel::UpstreamId,
    std::time::Instant,
};

/// A request, its phase and its place in the queue.
#[derive(Clone, Debug)]
pub(crate) struct HeldRequest {
    /// What its row was charged for its turn, in seconds of the whole pool.
    pub(crate) charged_seconds: f64,
    /// The first-token target as a time; none for patient rows.
    pub(crate) deadline: Option<Instant>,
    /// By when it needs a decode place, once it is read or being read.
    pub(crate) due: Instant,
    /// When it was first granted something.
    pub(crate) granted_at: Option<Instant>,
    /// Where its KV cache lies while it is in transfer, and until when.
    pub(crate) kv: Option<(UpstreamId, Instant)>,
    /// When it has to be read at the latest to end within its patience; patient rows.
    pub(crate) latest_start: Instant,
    /// The end of its patience.
    pub(crate) patience_end: Instant,
    /// What it holds.
    pub(crate) phase: RequestPhase,
    /// Where it stands in the queue of its row while it is queued.
    pub(crate) position: QueuePosition,
    /// The engines that serve it.
    pub(crate) pool: PoolKey,
    /// What was asked.
    pub(crate) request: AdmitRequest,
    /// The index of its row.
    pub(crate) row: usize,
    /// When the allocator has to look at it again, whatever happens.
    pub(crate) timer_at: Instant,
    /// How many tries failed.
    pub(crate) failed_tries: u8,
}

impl HeldRequest {
    /// When its KV cache is evicted, if it lies at a prefill engine.
    pub(crate) fn evicts_at(&self) -> Option<Instant> {
        match &self.phase {
            RequestPhase::Prefilled { evicts_at, .. } => Some(*evicts_at),
            _ => None,
        }
    }
}
