//! Why a prompt was read for nothing.

/// What became of a prompt that a prefill engine was given, when no decode engine ran on its KV cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WastedPrefill {
    /// The caller left before the cache was used. One that leaves while the prompt is read is not counted.
    CallerGone,
    /// The prefill engine ended, or its connection, before the answer.
    EngineLost,
    /// The decode engine of the place began to leave.
    PlaceLeft,
    /// The decode engine turned the request away, or ended before it ran.
    RunRefused,
    /// The prefill engine took too long; the decode engine read the prompt itself.
    Silent,
}

impl WastedPrefill {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::CallerGone,
        Self::EngineLost,
        Self::PlaceLeft,
        Self::RunRefused,
        Self::Silent,
    ];

    /// Its name in the metrics.
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
