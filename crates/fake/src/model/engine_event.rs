//! Events that an engine's core handles and actions that it requests.

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

/// Location of the KV cache that a decode call imports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvImport {
    /// Address of the prefill engine.
    pub address: SocketAddr,
    /// Handle of the exported KV cache.
    pub handle: KvHandle,
}

/// A completion call.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCall {
    /// Value of `X-Request-Id`, or a generated id.
    pub id: Arc<str>,
    /// Location of its KV cache; a decode call without one prefills the prompt locally.
    pub import: Option<KvImport>,
    /// Whether the KV cache is exported for a remote decode engine; set on prefill calls.
    pub keep_kv: bool,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Model name.
    pub model: ModelId,
    /// Scheduling priority; lower values run first.
    pub priority: i32,
    /// Prompt text.
    pub prompt: Arc<str>,
}

/// An exported KV cache as the prefill engine describes it to the decode engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KvRecord {
    /// Size in bytes.
    pub bytes: f64,
    /// Prompt length in tokens.
    pub tokens: u32,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum KvAnswer {
    /// The KV cache was evicted or released.
    Evicted,
    /// The KV cache exists and is kept for the transfer.
    Found(KvRecord),
    /// The KV cache belongs to another prompt.
    Mismatch,
    /// The prefill engine sent no valid answer in time.
    Unreachable,
}

/// Input of an engine's core.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// Cancels a run and frees everything it holds.
    Cancel(RunId),
    /// A run lost one connection.
    Disconnected(RunId),
    /// Replaces all faults.
    Faults(EngineFaults),
    /// A claim was answered or failed.
    KvAnswered {
        /// Outcome of the claim.
        answer: KvAnswer,
        /// Affected run.
        run: RunId,
    },
    /// A decode engine starts to import a KV cache.
    KvClaimed(KvHandle),
    /// A decode engine no longer needs a KV cache.
    KvReleased {
        /// Handle of the KV cache.
        handle: KvHandle,
        /// Whether the import completed.
        used: bool,
    },
    /// A model's weights are loaded.
    ModelLoaded(ModelId),
    /// An order whose fencing token was accepted.
    Order(EngineOrder),
    /// Another connection subscribed to a run.
    Reconnected(RunId),
    /// A call arrived.
    Submit {
        /// Parameters of the call.
        call: EngineCall,
        /// Id assigned by the driver, greater than all earlier ones.
        run: RunId,
    },
    /// A timer is due; drivers send it at [`EngineCore::next_wake`](super::EngineCore::next_wake).
    Tick,
    /// A KV cache transfer is complete.
    TransferEnded(RunId),
}

/// Output of an engine's core, executed by its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineAction {
    /// Claims a KV cache at the prefill engine; answered by [`EngineEvent::KvAnswered`].
    ClaimKv {
        /// Location of the KV cache.
        import: KvImport,
        /// Prompt that the KV cache must belong to.
        prompt: Arc<str>,
        /// Affected run.
        run: RunId,
    },
    /// Drops the state kept for resuming a run.
    Forget(RunId),
    /// Loads a model's weights; answered by [`EngineEvent::ModelLoaded`].
    LoadWeights {
        /// Size of the weights in bytes.
        bytes: f64,
        /// Model name.
        model: ModelId,
    },
    /// Releases a KV cache at the prefill engine.
    ReleaseKv {
        /// Location of the KV cache.
        import: KvImport,
        /// Whether the import completed.
        used: bool,
    },
    /// Transfers a KV cache over the link; answered by [`EngineEvent::TransferEnded`].
    StartTransfer {
        /// Size in bytes.
        bytes: f64,
        /// Affected run.
        run: RunId,
    },
    /// Aborts the claim or transfer of a run.
    StopTransfer(RunId),
    /// Publishes a run's progress. No update follows one whose `end` is set.
    Update {
        /// Affected run.
        run: RunId,
        /// Progress as the caller sees it.
        view: RunView,
    },
}
