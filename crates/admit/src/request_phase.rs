//! How far a request has come, as the allocator sees it.

use {crate::admit_event::AnnouncedPhase, kernel::UpstreamId, std::time::Instant};

/// What a request holds now.
#[derive(Clone, Debug)]
pub(crate) enum RequestPhase {
    /// It generates tokens.
    Decoding { decode: UpstreamId, tokens: u32 },
    /// A prefill engine reads this many tokens of the prompt.
    Prefilling { prefill: UpstreamId, tokens: f64 },
    /// It waits for its turn and holds nothing.
    Queued,
    /// Its KV cache lies at the prefill engine until `evicts_at`.
    Prefilled {
        evicts_at: Instant,
        prefill: UpstreamId,
    },
    /// Its KV cache crosses the link.
    Transferring { decode: UpstreamId },
}

impl RequestPhase {
    /// Whether the request was or is being read and holds no decode place yet.
    pub(crate) fn awaits_place(&self) -> bool {
        matches!(self, Self::Prefilling { .. } | Self::Prefilled { .. })
    }

    /// Whether an entry instance tells the same phase at the same engine; none is told of a queued request.
    pub(crate) fn matches_announced(&self, told: Option<&AnnouncedPhase>) -> bool {
        match (self, told) {
            (
                Self::Decoding { decode, .. },
                Some(AnnouncedPhase::Decoding { decode: told, .. }),
            )
            | (
                Self::Transferring { decode },
                Some(AnnouncedPhase::Transferring { decode: told, .. }),
            ) => decode == told,
            (
                Self::Prefilling { prefill, .. },
                Some(AnnouncedPhase::Prefilling { prefill: told, .. }),
            )
            | (
                Self::Prefilled { prefill, .. },
                Some(AnnouncedPhase::Prefilled { prefill: told, .. }),
            ) => prefill == told,
            (Self::Queued, None) => true,
            _ => false,
        }
    }
}
