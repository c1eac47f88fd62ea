//! State of one call in an engine.

use {
    super::engine_event::{EngineCall, KvImport},
    engine::wire::{EngineError, StreamState},
    std::time::Instant,
};

/// Id of a call, unique within an engine's incarnation.
pub type RunId = u64;
/// Id of an exported KV cache, unique across an engine's incarnations.
pub type KvHandle = u64;

/// Outcome of a run as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// Cancelled before it finished.
    Cancelled,
    /// The prompt is prefilled and the KV cache is exported under this handle.
    Exported(KvHandle),
    /// All tokens were generated.
    Finished,
    /// Refused before it ran.
    Refused(EngineError),
}

/// Progress of a run as its caller sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunView {
    /// Whether the call was accepted and can no longer be refused.
    pub accepted: bool,
    /// Outcome; `None` while the run is active.
    pub end: Option<RunEnd>,
    /// Final length of the completion in tokens.
    pub target: u32,
    /// Tokens generated so far.
    pub tokens: u32,
}

/// Phase of a run.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RunPhase {
    /// Waits for the answer to its KV cache claim.
    Claiming(KvImport),
    /// Generates tokens.
    Decoding,
    /// Its KV cache is exported and is evicted at `until`.
    Exported {
        claimed: bool,
        handle: KvHandle,
        until: Instant,
    },
    /// All tokens were generated; it holds no place and can be resumed until `until`.
    Finished { until: Instant },
    /// Its prompt is being prefilled.
    Prefilling,
    /// Its KV cache is being transferred.
    Transferring(KvImport),
    /// Queued for prefill.
    Waiting,
}

impl RunPhase {
    /// State in the list of streams; `None` for a finished run.
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

/// A call with its progress and the resources it holds.
#[derive(Clone, Debug)]
pub(super) struct EngineRun {
    pub(super) call: EngineCall,
    pub(super) connections: u32,
    pub(super) disconnected: Option<Instant>,
    pub(super) holds_place: bool,
    pub(super) phase: RunPhase,
    /// Prompt length in tokens.
    pub(super) prompt_tokens: u32,
    /// Prompt tokens that need prefill, excluding prefix cache hits; 0 before the prefill starts.
    pub(super) uncached_tokens: u32,
    pub(super) target: u32,
    pub(super) tokens: u32,
}

impl EngineRun {
    /// Whether its response is still in progress.
    pub(super) fn needs_connection(&self) -> bool {
        !matches!(
            self.phase,
            RunPhase::Exported { .. } | RunPhase::Finished { .. }
        )
    }

    /// Progress without an outcome.
    pub(super) fn view(&self) -> RunView {
        RunView {
            accepted: self.is_accepted(),
            end: None,
            target: self.target,
            tokens: self.tokens,
        }
    }

    /// Progress with the given outcome.
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
