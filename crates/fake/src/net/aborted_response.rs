//! Responses that close the connection instead of completing.

use {
    axum::response::{IntoResponse, Response},
    std::{error::Error, fmt},
};

/// Response extension that tells the server to close the connection instead of sending the response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AbortMarker;

/// Error that closes a connection, also in the middle of a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("connection aborted by an injected fault")
    }
}

impl Error for ConnectionAborted {}

/// Creates a response that closes the connection without sending a byte.
pub(crate) fn aborted_response() -> Response {
    let mut response = ().into_response();
    response.extensions_mut().insert(AbortMarker);
    response
}
