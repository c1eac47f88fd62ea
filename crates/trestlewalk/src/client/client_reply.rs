//! A complete answer.

use {
    hyper::{StatusCode, body::Bytes},
    kernel::ResultCode,
};

/// A complete answer to a call.
#[derive(Clone, Debug)]
pub struct ClientReply {
    /// The body.
    pub body: Bytes,
    /// The result code of the answer; `None` when it has none, or one that this version does not know.
    pub code: Option<ResultCode>,
    /// The HTTP status.
    pub status: StatusCode,
}

impl ClientReply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
