//! Clients for upstreams: model engines and plain services.
//!
//! [`ModelEngine`] is the interface of an engine that the request path uses, and [`CompletionEngine`] its only
//! implementation so far. Both kinds of upstreams are called through an [`HttpPool`].

pub mod call_error;
pub mod completion_engine;
pub mod http_pool;
pub mod model_engine;
pub mod pooled_body;
pub mod sse_reader;
pub mod token_stream;
pub mod wire;

pub use {
    call_error::{CallCause, CallError},
    completion_engine::CompletionEngine,
    http_pool::{HttpPool, SendFailure},
    model_engine::{ModelEngine, PrefillReply, TokenSource},
    pooled_body::PooledBody,
    sse_reader::SseReader,
    token_stream::{TokenEvent, TokenStream},
};
