//! What the door takes on.

use {bon::Builder, std::time::Duration};

/// The door's limits.
#[derive(Builder, Clone, Debug)]
pub struct ApiLimits {
    /// The largest body of a request to a model, bytes.
    #[builder(default = 4 << 20)]
    pub body: usize,
    /// The longest wait for a request's headers.
    #[builder(default = Duration::from_secs(10))]
    pub header_timeout: Duration,
    /// The largest headers of a request, bytes.
    #[builder(default = 64 << 10)]
    pub headers: usize,
    /// The most tokens that a request may ask for.
    #[builder(default = 32_768)]
    pub max_tokens: u32,
    /// How many requests may be open at once.
    #[builder(default = 10_000)]
    pub open_requests: usize,
}
