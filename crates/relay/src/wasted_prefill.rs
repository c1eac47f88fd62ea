//! Why a prefill was wasted.

/// Why no decode engine used the KV cache of a prompt that was sent to a prefill engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WastedPrefill {
    /// The caller left before the cache was used. Callers that leave during the prefill are not counted.
    CallerGone,
    /// The prefill engine crashed, or its connection broke, before the answer.
    EngineLost,
    /// The decode engine with the reserved slot began to drain.
    PlaceLeft,
    /// The decode engine refused the request, or was lost before it ran.
    RunRefused,
    /// The prefill timed out, and the decode engine prefilled the prompt itself.
    Silent,
}

impl WastedPrefill {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::CallerGone,
        Self::EngineLost,
        Self::PlaceLeft,
        Self::RunRefused,
        Self::Silent,
    ];

    /// The label value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::CallerGone => "caller_gone",
            Self::EngineLost => "engine_lost",
            Self::PlaceLeft => "place_left",
            Self::RunRefused => "run_refused",
            Self::Silent => "silent",
        }
    }
}
