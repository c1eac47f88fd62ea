//! What an entry instance and the allocator of a cell tell each other about one request.

use {
    admit::{AdmitEvent, RequestKey},
    kernel::{ResultCode, UpstreamId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What the entry instance tells of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CellNotice {
    /// The request is over; all that it holds is free.
    Cancel,
    /// The decode engine failed after the transfer began.
    DecodeLost,
    /// The decode engine refused; nothing was transferred.
    DecodeRefused,
    /// The last token came.
    Finished {
        /// The length of the answer.
        output_tokens: u32,
    },
    /// The first token came.
    FirstToken,
    /// The KV cache was evicted before its transfer.
    KvEvicted,
    /// The prompt is read.
    PrefillDone,
    /// The prefill engine refused or failed.
    PrefillFailed,
}

/// What the allocator grants to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CellGrant {
    /// Transfer to this decode engine, now.
    Decode(UpstreamId),
    /// Read at this prefill engine, now.
    Prefill(UpstreamId),
    /// The final answer.
    Refuse {
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_after: Duration,
    },
    /// The allocator lost track of the request: announce it anew.
    Resync,
}

impl CellNotice {
    /// The allocator's event.
    pub fn into_event(self, key: RequestKey) -> AdmitEvent {
        match self {
            Self::Cancel => AdmitEvent::Cancel { key },
            Self::DecodeLost => AdmitEvent::DecodeLost { key },
            Self::DecodeRefused => AdmitEvent::DecodeRefused { key },
            Self::Finished { output_tokens } => AdmitEvent::Finished { key, output_tokens },
            Self::FirstToken => AdmitEvent::FirstToken { key },
            Self::KvEvicted => AdmitEvent::KvEvicted { key },
            Self::PrefillDone => AdmitEvent::PrefillDone { key },
            Self::PrefillFailed => AdmitEvent::PrefillFailed { key },
        }
    }
}
