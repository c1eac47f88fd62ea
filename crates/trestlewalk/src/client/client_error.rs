//! Errors of calls to a running instance.

use {
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// Why [`HttpClient`](crate::client::HttpClient) got no complete answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ClientError {
    /// The connection ended within the answer.
    #[snafu(display("the answer of {address} ended early: {source}"))]
    AnswerCut {
        /// The address that was called.
        address: SocketAddr,
        /// The underlying error.
        source: hyper::Error,
    },
    /// The call is not a valid HTTP request.
    #[snafu(display("the call can't be sent: {source}"))]
    BadCall {
        /// The underlying error.
        source: hyper::http::Error,
    },
    /// The connection was lost before an answer came; the call may have arrived.
    #[snafu(display("{address} closed the connection without an answer: {detail}"))]
    ConnectionLost {
        /// The address that was called.
        address: SocketAddr,
        /// The chain of causes, from the outermost to the innermost.
        detail: String,
    },
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("{address} can't be reached: {detail}"))]
    NotConnected {
        /// The address that was called.
        address: SocketAddr,
        /// The chain of causes, from the outermost to the innermost.
        detail: String,
    },
    /// No complete answer came before the timeout.
    #[snafu(display("{address} gave no answer within {}", humantime::format_duration(*limit)))]
    TimedOut {
        /// The address that was called.
        address: SocketAddr,
        /// The timeout of the call.
        limit: Duration,
    },
}
