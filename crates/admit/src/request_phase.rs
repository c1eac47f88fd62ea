//! How far a request has come, as the allocator sees it.

use {kernel::UpstreamId, std::time::Instant};

/// What a request holds now.
#[derive(Clone, Debug)]
pub(crate) enum RequestPhase {
    /// It generates tokens.
    Decoding { decode: UpstreamId, tokens: u32 },
    /// A prefill engine reads this many tokens of the prompt.
    Prefilling { prefill: UpstreamId, tokens: f64 },
    /// It waits for its turn and holds nothing.
    Queued,
    /// Its KV cache lies at the prefill engine until `evicts`.
    Read {
        evicts: Instant,
        prefill: UpstreamId,
    },
    /// Its KV cache crosses the link.
    Transferring { decode: UpstreamId },
}

impl RequestPhase {
    /// Whether the request was or is being read and holds no decode place yet.
    pub(crate) fn is_claim(&self) -> bool {
        matches!(self, Self::Prefilling { .. } | Self::Read { .. })
    }
}
