//! How one call to an upstream ended.

use {
    crate::{ErrorResponse, OpenCall, OpenConnection, ReplyFacts},
    http::response::Parts,
    hyper::body::Incoming,
    kernel::ResultCode,
};

/// The head of an upstream's answer, with its body still to come.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// The body.
    pub body: Incoming,
    /// Counts as open until the body was read.
    pub call: OpenCall,
    /// What the head says.
    pub facts: ReplyFacts,
    /// The head.
    pub head: Parts,
    /// The connection that the body comes on.
    pub connection: OpenConnection,
}

/// How a call ended.
#[derive(Debug)]
pub enum CallEnd {
    /// The upstream answers.
    Answer(Box<UpstreamAnswer>),
    /// The request may not run any more, with this answer; nothing was sent.
    Denied(ErrorResponse),
    /// Nobody knows whether the request ran.
    Lost(ResultCode),
    /// The upstream says that it did not run the request.
    NotRun,
    /// The request never left.
    Unsent,
}
