//! One reading of a prompt, and what became of it.

use crate::world::{progress_queue::ProgressMark, request_state::RequestIndex};

/// Counts readings.
pub(crate) type ReadingIndex = usize;
/// Counts engines of one pool.
pub(crate) type EngineIndex = usize;

/// Where a reading is, as the engines know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReadingPhase {
    /// Nothing is held anywhere.
    Gone,
    /// The KV cache lies at the prefill engine.
    Kept,
    /// The KV cache crosses the link.
    Moving {
        decode: EngineIndex,
        mark: ProgressMark,
    },
    /// It waits at the prefill engine, or the order is on its way there.
    Queued,
    /// It is being read.
    Reading,
    /// The decode engine generates tokens.
    Streaming { decode: EngineIndex },
}

/// One reading.
#[derive(Clone, Debug)]
pub(crate) struct ReadingState {
    /// The tokens are accounted as delivered or wasted.
    pub(crate) closed: bool,
    pub(crate) phase: ReadingPhase,
    pub(crate) prefill: EngineIndex,
    /// A decode engine refused it as full.
    pub(crate) refused: bool,
    pub(crate) request: RequestIndex,
    /// Prompt tokens read.
    pub(crate) tokens: u32,
}

impl ReadingState {
    pub(crate) fn new(request: RequestIndex, prefill: EngineIndex) -> Self {
        Self {
            closed: false,
            phase: ReadingPhase::Queued,
            prefill,
            refused: false,
            request,
            tokens: 0,
        }
    }
}
