//! Answers that end in a closed connection.

use {
    axum::response::{IntoResponse, Response},
    std::{error::Error, fmt},
};

/// Marks an answer that is never sent: the connection is closed in its place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AbortMarker;

/// The error that ends a connection in the middle of a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the connection is cut on purpose")
    }
}

impl Error for ConnectionAborted {}

/// An answer that closes the connection without a byte.
pub(crate) fn aborted_response() -> Response {
    let mut response = ().into_response();
    response.extensions_mut().insert(AbortMarker);
    response
}
