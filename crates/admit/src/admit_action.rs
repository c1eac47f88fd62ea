//! Decisions of an allocator.

use {
    crate::request_key::RequestKey,
    kernel::{ResultCode, UpstreamId},
    std::time::{Duration, Instant},
};

/// One decision for one request, or a request for a timer.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmitAction {
    /// The KV cache transfer may start now, to a place at this decode engine.
    GrantDecode {
        /// The engine that reserves a decode place.
        decode: UpstreamId,
        /// The request.
        key: RequestKey,
    },
    /// Prefill may start now, at this engine.
    GrantPrefill {
        /// The request.
        key: RequestKey,
        /// The engine that prefills the prompt.
        prefill: UpstreamId,
    },
    /// The request is rejected. This is its final answer.
    Refuse {
        /// The result code for the caller.
        code: ResultCode,
        /// The request.
        key: RequestKey,
        /// When the caller may retry, estimated from the queue length.
        retry_after: Duration,
    },
    /// The allocator does not hold this request. Its entry instance reports the current phase by
    /// [`AdmitEvent::Announce`](crate::AdmitEvent), [`AdmitEvent::Submit`](crate::AdmitEvent) or
    /// [`AdmitEvent::Cancel`](crate::AdmitEvent).
    Resync {
        /// The request.
        key: RequestKey,
    },
    /// Requests an [`AdmitEvent::Tick`](crate::AdmitEvent) at this time. If several are pending, the earliest one
    /// counts.
    WakeAt(Instant),
}
