//! One call that an engine holds.

use {
    super::engine_event::{EngineCall, KvImport},
    engine::wire::{EngineError, StreamState},
    std::time::Instant,
};

/// Names one call within the life of an engine.
pub type RunId = u64;
/// Names one exported KV cache.
pub type KvHandle = u64;

/// How a run ended, as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It was cancelled.
    Cancelled,
    /// The prompt is read and the KV cache waits under this handle.
    Exported(KvHandle),
    /// All tokens are there.
    Finished,
    /// It was refused before it ran.
    Refused(EngineError),
}

/// What the caller of a run can see of it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunView {
    /// Whether it can no longer be refused.
    pub accepted: bool,
    /// How it ended.
    pub end: Option<RunEnd>,
    /// The length that the answer will have.
    pub target: u32,
    /// Tokens so far.
    pub tokens: u32,
}

/// What a run is doing.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunPhase {
    /// Its KV cache is asked for.
    Claiming(KvImport),
    /// Generates tokens.
    Decoding,
    /// Its KV cache waits, until it is evicted.
    Exported {
        claimed: bool,
        handle: KvHandle,
        until: Instant,
    },
    /// All tokens are there; it can be resumed for a while and holds no memory.
    Finished { until: Instant },
    /// Its prompt is being read.
    Prefilling,
    /// Its KV cache crosses the link.
    Transferring(KvImport),
    /// Waits to be read.
    Waiting,
}

impl RunPhase {
    /// What the list of streams says; nothing for a finished run.
    pub(super) fn state(&self) -> Option<StreamState> {
        match self {
            Self::Claiming(_) | Self::Transferring(_) => Some(StreamState::Transferring),
            Self::Decoding => Some(StreamState::Decoding),
            Self::Exported { .. } => Some(StreamState::Exported),
            Self::Finished { .. } => None,
            Self::Prefilling => Some(StreamState::Prefilling),
            Self::Waiting => Some(StreamState::Waiting),
        }
    }
}

/// One call with all that it holds.
#[derive(Clone, Debug)]
pub(super) struct EngineRun {
    pub(super) call: EngineCall,
    pub(super) connections: u32,
    pub(super) disconnected: Option<Instant>,
    pub(super) holds_place: bool,
    pub(super) phase: RunPhase,
    /// Prompt tokens in all.
    pub(super) prompt_tokens: u32,
    /// Prompt tokens to be read, or read, without those found in the prefix cache.
    pub(super) uncached_tokens: u32,
    pub(super) target: u32,
    pub(super) tokens: u32,
}

impl EngineRun {
    /// Whether its answer is not finished yet.
    pub(super) fn needs_connection(&self) -> bool {
        !matches!(
            self.phase,
            RunPhase::Exported { .. } | RunPhase::Finished { .. }
        )
    }

    /// What its caller sees while it goes on.
    pub(super) fn view(&self) -> RunView {
        RunView {
            accepted: self.is_accepted(),
            end: None,
            target: self.target,
            tokens: self.tokens,
        }
    }

    /// What its caller sees at its end.
    pub(super) fn view_at_end(&self, end: RunEnd) -> RunView {
        RunView {
            end: Some(end),
            ..self.view()
        }
    }

    fn is_accepted(&self) -> bool {
        self.holds_place && !matches!(self.phase, RunPhase::Claiming(_))
    }
}
