//! One request as its entry instance knows it.

use {
    crate::world::reading_state::{EngineIndex, ReadingIndex},
    std::time::Instant,
};

/// Counts requests.
pub(crate) type RequestIndex = usize;

/// How far a request has come, by what its entry instance heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EntryPhase {
    /// Tokens come.
    Decoding { decode: EngineIndex },
    /// It has its outcome.
    Ended,
    /// It has not arrived yet.
    Planned,
    /// The prompt is being read.
    Prefilling { since: Instant },
    /// The KV cache lies at the prefill engine.
    Read { since: Instant },
    /// The KV cache crosses the link.
    Transferring { decode: EngineIndex, since: Instant },
    /// The allocator has it.
    Waiting,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The whole answer was delivered.
    Answered,
    /// An upstream or the entry instance died under it: outcome unknown.
    Broken,
    /// The caller went away.
    Cancelled,
    /// It never ended.
    Lost,
    /// It was refused.
    Refused,
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub(crate) arrived: Instant,
    pub(crate) entry: usize,
    pub(crate) finished: Option<Instant>,
    pub(crate) first_token: Option<Instant>,
    pub(crate) outcome: Option<RequestOutcome>,
    pub(crate) phase: EntryPhase,
    /// The reading that counts.
    pub(crate) reading: Option<ReadingIndex>,
    /// Tries that are left.
    pub(crate) retries: u8,
    /// The serial of the attempt that counts.
    pub(crate) serial: u64,
}
