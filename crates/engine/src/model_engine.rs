//! The interface of a model engine that the request path uses. Support for another engine protocol is one more
//! implementation.

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

/// The answer of a prefill engine after it has prefilled the prompt.
#[derive(Clone, Debug)]
pub struct PrefillReply {
    /// The parameters to pass on in the decode call.
    pub params: KvTransferParams,
}

/// A source of the tokens of one answer.
pub trait TokenSource: Send {
    /// Returns the next event. [`TokenEvent::Done`] or an error is the last one.
    fn next(&mut self) -> impl Future<Output = Result<TokenEvent, CallError>> + Send;
}

/// A client for one protocol of model engines.
pub trait ModelEngine: Clone + Send + Sync + 'static {
    /// The source of the tokens of one answer.
    type Tokens: TokenSource;

    /// Returns the cache blocks that were stored or evicted after a sequence number.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, CallError>> + Send;

    /// Cancels a stream in any phase. Returns `false` if the engine does not hold it, or not yet.
    fn cancel(
        &self,
        address: SocketAddr,
        stream: &str,
    ) -> impl Future<Output = Result<bool, CallError>> + Send;

    /// Starts the transfer of the KV cache and then the decoding.
    fn decode(
        &self,
        address: SocketAddr,
        stream: &str,
        call: &CompletionCall,
    ) -> impl Future<Output = Result<Self::Tokens, CallError>> + Send;

    /// Fetches the load report of the engine.
    fn load(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<EngineLoad, CallError>> + Send;

    /// Sends the engine an order.
    fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Prefills a prompt and keeps its KV cache for a transfer.
    fn prefill(
        &self,
        address: SocketAddr,
        stream: &str,
        call: &CompletionCall,
    ) -> impl Future<Output = Result<PrefillReply, CallError>> + Send;

    /// Resumes a stream at the token with index `offset`.
    fn resume(
        &self,
        address: SocketAddr,
        stream: &str,
        offset: u32,
    ) -> impl Future<Output = Result<Self::Tokens, CallError>> + Send;

    /// Lists the streams that the engine holds.
    fn streams(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<Vec<StreamRecord>, CallError>> + Send;
}
