//! The limits of the HTTP interface for callers.

use {bon::Builder, std::time::Duration};

/// Limits on the requests of callers.
#[derive(Builder, Clone, Debug)]
pub struct ApiLimits {
    /// The maximum size of the body of a model request, in bytes.
    #[builder(default = 4 << 20)]
    pub body: usize,
    /// The timeout for reading the headers of a request.
    #[builder(default = Duration::from_secs(10))]
    pub header_timeout: Duration,
    /// The maximum size of the headers of a request, in bytes.
    #[builder(default = 64 << 10)]
    pub headers: usize,
    /// The maximum `max_tokens` that a request may specify.
    #[builder(default = 32_768)]
    pub max_tokens: u32,
    /// The maximum number of open requests.
    #[builder(default = 10_000)]
    pub open_requests: usize,
}
