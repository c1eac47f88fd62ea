//! A request held by the allocator.

use {
    crate::{
        admit_request::AdmitRequest, pool_key::PoolKey, queue_position::QueuePosition,
        request_phase::RequestPhase,
    },
    kernel::UpstreamId,
    std::time::Instant,
};

/// A request with its phase, deadlines and position in the queue.
#[derive(Clone, Debug)]
pub(crate) struct HeldRequest {
    /// The service charged to its row, in seconds of the whole pool.
    pub(crate) charged_seconds: f64,
    /// The deadline of the first token; `None` for patient rows.
    pub(crate) deadline: Option<Instant>,
    /// When it needs a decode place, once it is prefilling or prefilled.
    pub(crate) due: Instant,
    /// When it first received a grant.
    pub(crate) granted_at: Option<Instant>,
    /// The prefill engine that keeps the KV cache during the transfer, and when it evicts it.
    pub(crate) kv: Option<(UpstreamId, Instant)>,
    /// When prefill must start at the latest to finish within the patience. Used for patient rows.
    pub(crate) latest_start: Instant,
    /// When the patience ends.
    pub(crate) patience_end: Instant,
    /// The current phase and the resources held in it.
    pub(crate) phase: RequestPhase,
    /// The position in its row's queue while it is queued.
    pub(crate) position: QueuePosition,
    /// The engines that serve it.
    pub(crate) pool: PoolKey,
    /// The submitted request.
    pub(crate) request: AdmitRequest,
    /// The index of its row.
    pub(crate) row: usize,
    /// When the allocator checks it again if no event arrives.
    pub(crate) timer_at: Instant,
}

impl HeldRequest {
    /// When its KV cache is evicted; `None` unless a prefill engine keeps it.
    pub(crate) fn evicts_at(&self) -> Option<Instant> {
        match &self.phase {
            RequestPhase::Prefilled { evicts_at, .. } => Some(*evicts_at),
            _ => None,
        }
    }
}
