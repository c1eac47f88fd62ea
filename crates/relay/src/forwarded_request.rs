//! A request that another instance forwards to this one.

use {
    crate::BufferedBody,
    http::{HeaderMap, Method, Uri},
    kernel::{CustomerId, InstanceId, TableVersion},
    policy::RepeatRule,
    std::time::Duration,
};

/// A request as its caller's instance has read and checked it.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The body.
    pub body: BufferedBody,
    /// The customer whose key the caller's instance has checked, and the version of the table in which it holds; `None`
    /// without one.
    pub customer: Option<(CustomerId, TableVersion)>,
    /// How long ago it arrived at the caller's instance.
    pub elapsed: Duration,
    /// The caller's instance.
    pub from: InstanceId,
    /// The headers for the upstream.
    pub headers: HeaderMap,
    /// The time that is left for it.
    pub left: Duration,
    /// The method.
    pub method: Method,
    /// Whether it may run more than once, by the routes of the caller's instance.
    pub repeat: RepeatRule,
    /// How often it may have run already.
    pub runs: u32,
    /// Path and query.
    pub target: Uri,
    /// On how many upstreams it may run, by the routes of the caller's instance.
    pub tries: u32,
}
