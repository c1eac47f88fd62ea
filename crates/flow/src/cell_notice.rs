//! Messages about one request between its entry instance and the allocator of its cell. They are encoded with postcard,
//! so the order of fields and variants is the wire format.

use {
    admit::{AdmitEvent, RequestKey},
    kernel::{ResultCode, UpstreamId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A change of a request, reported by its entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CellNotice {
    /// The request has ended, and everything it holds is free.
    Cancel,
    /// The decode engine failed after the transfer began.
    DecodeLost,
    /// The decode engine refused the request. Nothing was transferred.
    DecodeRefused,
    /// The last token arrived.
    Finished {
        /// The length of the answer in tokens.
        output_tokens: u32,
    },
    /// The first token arrived.
    FirstToken,
    /// The KV cache was evicted before its transfer.
    KvEvicted,
    /// Prefill is complete.
    PrefillDone {
        /// The engine that keeps the KV cache.
        prefill: UpstreamId,
    },
    /// The prefill engine refused or failed.
    PrefillFailed {
        /// Whether the engine takes no calls at the moment, so that other requests would fail there too.
        is_unavailable: bool,
        /// The engine that was called.
        prefill: UpstreamId,
    },
}

/// A decision of the allocator on a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CellGrant {
    /// Start the transfer to this decode engine now.
    Decode(UpstreamId),
    /// Start prefill on this engine now.
    Prefill(UpstreamId),
    /// The request is refused. This is its final answer.
    Refuse {
        /// The result code for the caller.
        code: ResultCode,
        /// The retry delay for the caller.
        retry_after: Duration,
    },
    /// The allocator does not hold the request and asks for it to be announced again.
    Resync,
}

impl CellGrant {
    /// The granted engine; `None` if none is granted.
    pub fn upstream(&self) -> Option<&UpstreamId> {
        match self {
            Self::Decode(upstream) | Self::Prefill(upstream) => Some(upstream),
            Self::Refuse { .. } | Self::Resync => None,
        }
    }
}

impl CellNotice {
    /// Converts the notice to an allocator event.
    pub fn into_event(self, key: RequestKey) -> AdmitEvent {
        match self {
            Self::Cancel => AdmitEvent::Cancel { key },
            Self::DecodeLost => AdmitEvent::DecodeLost { key },
            Self::DecodeRefused => AdmitEvent::DecodeRefused { key },
            Self::Finished { output_tokens } => AdmitEvent::Finished { key, output_tokens },
            Self::FirstToken => AdmitEvent::FirstToken { key },
            Self::KvEvicted => AdmitEvent::KvEvicted { key },
            Self::PrefillDone { prefill } => AdmitEvent::PrefillDone { key, prefill },
            Self::PrefillFailed {
                is_unavailable,
                prefill,
            } => AdmitEvent::PrefillFailed {
                is_unavailable,
                key,
                prefill,
            },
        }
    }
}
