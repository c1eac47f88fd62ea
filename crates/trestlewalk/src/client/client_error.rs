//! Why a call got no answer.

use {
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// An error of [`HttpClient`](crate::client::HttpClient).
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ClientError {
    /// The answer ended early.
    #[snafu(display("the answer of {address} ended early: {source}"))]
    AnswerCut {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: hyper::Error,
    },
    /// The call can't be sent as HTTP.
    #[snafu(display("the call can't be sent: {source}"))]
    BadCall {
        /// Why.
        source: hyper::http::Error,
    },
    /// The connection was lost: the call may have arrived.
    #[snafu(display("{address} closed the connection without an answer: {detail}"))]
    ConnectionLost {
        /// The address.
        address: SocketAddr,
        /// Why, from the outermost cause to the innermost.
        detail: String,
    },
    /// No connection came about: nothing was sent.
    #[snafu(display("{address} can't be reached: {detail}"))]
    NotConnected {
        /// The address.
        address: SocketAddr,
        /// Why, from the outermost cause to the innermost.
        detail: String,
    },
    /// No answer came in time.
    #[snafu(display("{address} gave no answer within {}", humantime::format_duration(*limit)))]
    TimedOut {
        /// The address.
        address: SocketAddr,
        /// The time that the call might take.
        limit: Duration,
    },
}
