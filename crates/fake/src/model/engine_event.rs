//! What an engine hears and what it does.

use {
    super::{
        engine_faults::EngineFaults,
        engine_run::{KvHandle, RunId, RunView},
    },
    engine::wire::EngineOrder,
    kernel::ModelId,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Where a decode call's KV cache lies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvImport {
    /// The prefill engine.
    pub address: SocketAddr,
    /// The KV cache there.
    pub handle: KvHandle,
}

/// One completion call.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCall {
    /// Its `X-Request-Id`.
    pub id: Arc<str>,
    /// Where its KV cache lies; a decode call without one reads the prompt itself.
    pub import: Option<KvImport>,
    /// Whether the KV cache is kept for a remote decode engine; set on prefill calls.
    pub keep_kv: bool,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// The model.
    pub model: ModelId,
    /// Lower runs first.
    pub priority: i32,
    /// The prompt.
    pub prompt: Arc<str>,
}

/// An exported KV cache, as the prefill engine tells the decode engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KvRecord {
    /// Its size.
    pub bytes: f64,
    /// The prompt's length in tokens.
    pub tokens: u32,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum KvAnswer {
    /// The KV cache is gone.
    Evicted,
    /// The KV cache is there and kept for the transfer.
    Found(KvRecord),
    /// The KV cache belongs to another prompt.
    Mismatch,
    /// The prefill engine gave no answer.
    Unreachable,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A run is to end and to free all that it holds.
    Cancel(RunId),
    /// A connection of a run is gone.
    Disconnected(RunId),
    /// Faults in place of the old ones.
    Faults(EngineFaults),
    /// The prefill engine answered a claim.
    KvAnswered {
        /// What it said.
        answer: KvAnswer,
        /// The run.
        run: RunId,
    },
    /// A decode engine begins to import a KV cache.
    KvClaimed(KvHandle),
    /// A decode engine needs a KV cache no longer.
    KvReleased {
        /// The KV cache.
        handle: KvHandle,
        /// Whether it was imported whole.
        used: bool,
    },
    /// A model's weights are there.
    ModelLoaded(ModelId),
    /// An order that passed its check of the fencing number.
    Order(EngineOrder),
    /// A further connection reads a run's tokens.
    Reconnected(RunId),
    /// A new call.
    Submit {
        /// The call.
        call: EngineCall,
        /// The name that its driver gives it: greater than each before.
        run: RunId,
    },
    /// Time passed; drivers send it at [`EngineCore::next_wake`](super::EngineCore::next_wake).
    Tick,
    /// A KV cache has crossed the link.
    TransferEnded(RunId),
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineAction {
    /// Ask the prefill engine for a KV cache; answer with [`EngineEvent::KvAnswered`].
    ClaimKv {
        /// Where it lies.
        import: KvImport,
        /// The prompt that it has to belong to.
        prompt: Arc<str>,
        /// The run.
        run: RunId,
    },
    /// A run can no longer be resumed.
    Forget(RunId),
    /// Load a model's weights; answer with [`EngineEvent::ModelLoaded`].
    LoadWeights {
        /// Their size.
        bytes: f64,
        /// The model.
        model: ModelId,
    },
    /// Tell the prefill engine that a KV cache is needed no longer.
    ReleaseKv {
        /// Where it lies.
        import: KvImport,
        /// Whether it was imported whole.
        used: bool,
    },
    /// Carry a KV cache over the link; answer with [`EngineEvent::TransferEnded`].
    StartTransfer {
        /// Its size.
        bytes: f64,
        /// The run.
        run: RunId,
    },
    /// Give up a claim or a transfer.
    StopTransfer(RunId),
    /// The caller sees this from now on; after a view with an end no other one comes.
    Update {
        /// The run.
        run: RunId,
        /// What the caller sees.
        view: RunView,
    },
}
