//! The outcome of one call to an upstream.

use {
    crate::{ErrorResponse, OpenCall, OpenConnection, ReplyFacts},
    http::{header, response::Parts},
    hyper::body::Incoming,
    kernel::ResultCode,
};

/// The head of an upstream's answer, whose body is still to be read.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// The body.
    pub body: Incoming,
    /// Keeps the call counted as open until the body has been read.
    pub call: OpenCall,
    /// What the protocol derives from the head.
    pub facts: ReplyFacts,
    /// The head.
    pub head: Parts,
    /// The connection that carries the body.
    pub connection: OpenConnection,
}

impl UpstreamAnswer {
    /// Whether the answer has a length or chunks. One without ends with its connection, so that its end may be a crash of
    /// the upstream.
    pub fn is_framed(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }
}

/// The outcome of a call.
#[derive(Debug)]
pub enum CallEnd {
    /// The upstream answered.
    Answer(Box<UpstreamAnswer>),
    /// The request may no longer run, and nothing was sent; holds the response to the caller.
    Denied(ErrorResponse),
    /// The connection or the answer was lost: the request may or may not have run.
    Lost(ResultCode),
    /// The upstream states that it did not run the request.
    NotRun,
    /// No connection came about, and nothing was sent.
    Unreachable,
    /// Nothing of the request was sent.
    Unsent,
}
