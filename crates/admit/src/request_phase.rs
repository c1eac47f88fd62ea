//! The phase of a request in the allocator.

use {crate::admit_event::AnnouncedPhase, kernel::UpstreamId, std::time::Instant};

/// The phase of a request and the resources it holds.
#[derive(Clone, Debug)]
pub(crate) enum RequestPhase {
    /// The request generates tokens.
    Decoding { decode: UpstreamId, tokens: u32 },
    /// A prefill engine processes this many tokens of the prompt.
    Prefilling { prefill: UpstreamId, tokens: f64 },
    /// The request waits in the queue and holds nothing.
    Queued,
    /// The prefill engine keeps the KV cache until `evicts_at`.
    Prefilled {
        evicts_at: Instant,
        prefill: UpstreamId,
    },
    /// The KV cache is being transferred over the link.
    Transferring { decode: UpstreamId },
}

impl RequestPhase {
    /// Whether the request is prefilling or prefilled and needs a decode place.
    pub(crate) fn awaits_place(&self) -> bool {
        matches!(self, Self::Prefilling { .. } | Self::Prefilled { .. })
    }

    /// Whether an announcement replaces this phase within a session. A request that is being prefilled is announced when
    /// it dropped a grant: of another engine, or of a decode place for the KV cache of an earlier attempt.
    pub(crate) fn yields_to(&self, announced: &AnnouncedPhase) -> bool {
        match (self, announced) {
            (Self::Queued, _) | (Self::Transferring { .. }, AnnouncedPhase::Prefilling { .. }) => {
                true
            }
            (
                Self::Prefilling { prefill, .. },
                AnnouncedPhase::Prefilling {
                    prefill: announced, ..
                },
            ) => prefill != announced,
            _ => false,
        }
    }

    /// Whether an entry instance announces the same phase at the same engine; `None` stands for a queued request.
    pub(crate) fn matches_announced(&self, announced: Option<&AnnouncedPhase>) -> bool {
        match (self, announced) {
            (
                Self::Decoding { decode, .. },
                Some(AnnouncedPhase::Decoding {
                    decode: announced, ..
                }),
            )
            | (
                Self::Transferring { decode },
                Some(AnnouncedPhase::Transferring {
                    decode: announced, ..
                }),
            ) => decode == announced,
            (
                Self::Prefilling { prefill, .. },
                Some(AnnouncedPhase::Prefilling {
                    prefill: announced, ..
                }),
            )
            | (
                Self::Prefilled { prefill, .. },
                Some(AnnouncedPhase::Prefilled {
                    prefill: announced, ..
                }),
            ) => prefill == announced,
            (Self::Queued, None) => true,
            _ => false,
        }
    }
}
