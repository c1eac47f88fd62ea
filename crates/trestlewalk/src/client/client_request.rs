//! One call.

use {
    bon::Builder,
    hyper::{Method, body::Bytes, header::HeaderName},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// What to send, and how long to wait for the whole answer.
#[derive(Builder, Clone, Debug)]
pub struct ClientRequest {
    /// Where to.
    pub address: SocketAddr,
    /// The body.
    #[builder(default)]
    pub body: Bytes,
    /// The headers.
    #[builder(default)]
    pub headers: Vec<(HeaderName, Arc<str>)>,
    /// How long the whole answer may take.
    pub limit: Duration,
    /// The method.
    #[builder(default = Method::GET)]
    pub method: Method,
    /// The path.
    #[builder(into)]
    pub path: Arc<str>,
}
