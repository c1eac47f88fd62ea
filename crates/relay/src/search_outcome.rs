//! How a search for the KV cache of a prompt ended.

/// What the engines that a search asked have answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchOutcome {
    /// All have listed their cached prompts.
    Complete,
    /// All have answered or failed in time, but not all with a list.
    Partial,
    /// At least one had not answered when the time was over.
    TimedOut,
}

impl SearchOutcome {
    /// All outcomes.
    pub const ALL: [Self; 3] = [Self::Complete, Self::Partial, Self::TimedOut];

    /// The label value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Partial => "partial",
            Self::TimedOut => "timed_out",
        }
    }
}
