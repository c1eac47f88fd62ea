//! A whole answer.

use {
    hyper::{StatusCode, body::Bytes},
    kernel::ResultCode,
};

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct ClientReply {
    /// The body.
    pub body: Bytes,
    /// The numbered result, when the answer carries one that this version knows.
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
