//! What the request path asks of a model engine. Another engine's dialect is one more implementation.

use {
    crate::{
        call_error::CallError,
        token_stream::TokenEvent,
        wire::{
            CacheEvents, CompletionCall, EngineLoad, EngineOrder, KvTransferParams, StreamRecord,
        },
    },
    std::{future::Future, net::SocketAddr},
};

/// What a prefill engine answers once it has read the prompt.
#[derive(Clone, Debug)]
pub struct PrefillReply {
    /// What the decode call has to carry.
    pub params: KvTransferParams,
}

/// The tokens of one answer.
pub trait TokenSource: Send {
    /// The next event; after [`TokenEvent::Done`] or an error the source is at its end.
    fn next(&mut self) -> impl Future<Output = Result<TokenEvent, CallError>> + Send;
}

/// One dialect of model engines.
pub trait ModelEngine: Clone + Send + Sync + 'static {
    /// The tokens of one answer.
    type Tokens: TokenSource;

    /// Blocks that came and went after a sequence number.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, CallError>> + Send;

    /// Cancels a stream at any phase; `false` when the engine doesn't hold it, or not yet.
    fn cancel(
        &self,
        address: SocketAddr,
        stream: &str,
    ) -> impl Future<Output = Result<bool, CallError>> + Send;

    /// Starts the transfer of the KV cache and the generation.
    fn decode(
        &self,
        address: SocketAddr,
        stream: &str,
        call: &CompletionCall,
    ) -> impl Future<Output = Result<Self::Tokens, CallError>> + Send;

    /// The engine's load report.
    fn load(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<EngineLoad, CallError>> + Send;

    /// Gives the engine an order.
    fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Reads a prompt and keeps its KV cache for a transfer.
    fn prefill(
        &self,
        address: SocketAddr,
        stream: &str,
        call: &CompletionCall,
    ) -> impl Future<Output = Result<PrefillReply, CallError>> + Send;

    /// Takes a stream up again from a token on.
    fn resume(
        &self,
        address: SocketAddr,
        stream: &str,
        offset: u32,
    ) -> impl Future<Output = Result<Self::Tokens, CallError>> + Send;

    /// The streams that the engine holds.
    fn streams(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<Vec<StreamRecord>, CallError>> + Send;
}
