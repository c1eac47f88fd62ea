//! What an allocator decides.

use {
    crate::request_key::RequestKey,
    kernel::{ResultCode, UpstreamId},
    std::time::{Duration, Instant},
};

/// One decision.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmitAction {
    /// The transfer may start now, to a place at this decode engine.
    GrantDecode {
        /// The decode engine.
        decode: UpstreamId,
        /// The request.
        key: RequestKey,
    },
    /// Reading may start now, at this prefill engine.
    GrantPrefill {
        /// The request.
        key: RequestKey,
        /// The prefill engine.
        prefill: UpstreamId,
    },
    /// The request won't be served: its final answer, at once.
    Refuse {
        /// Why.
        code: ResultCode,
        /// The request.
        key: RequestKey,
        /// When to come back, from the queue's length.
        retry_after: Duration,
    },
    /// The entry instance is to tell anew how far the request has come, by [`AdmitEvent::Announce`](crate::AdmitEvent),
    /// [`AdmitEvent::Submit`](crate::AdmitEvent) or [`AdmitEvent::Cancel`](crate::AdmitEvent): the allocator does not
    /// hold it any more.
    Resync {
        /// The request.
        key: RequestKey,
    },
    /// Send [`AdmitEvent::Tick`](crate::AdmitEvent) at this time; the earliest one given counts.
    WakeAt(Instant),
}
