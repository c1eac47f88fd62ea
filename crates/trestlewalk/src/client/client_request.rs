//! One HTTP call.

use {
    bon::Builder,
    hyper::{Method, body::Bytes, header::HeaderName},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// A request to send, and how long to wait for the complete answer.
#[derive(Builder, Clone, Debug)]
pub struct ClientRequest {
    /// The address of the instance.
    pub address: SocketAddr,
    /// The body.
    #[builder(default)]
    pub body: Bytes,
    /// The headers.
    #[builder(default)]
    pub headers: Vec<(HeaderName, Arc<str>)>,
    /// The timeout, up to the last byte of the answer.
    pub limit: Duration,
    /// The method.
    #[builder(default = Method::GET)]
    pub method: Method,
    /// The path, with the query if there is one.
    #[builder(into)]
    pub path: Arc<str>,
}
