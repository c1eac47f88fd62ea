//! What callers may send, and how long they may take.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Limits on callers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// The largest body, bytes.
    pub body: usize,
    /// How long a connection may stay without a request.
    pub idle: Duration,
    /// The largest head of a request, bytes.
    pub headers: usize,
}

impl Default for CallerLimits {
    /// Used until the operators' own limits are known: the sizes of common HTTP servers.
    fn default() -> Self {
        Self {
            body: 4 << 20,
            headers: 16 << 10,
            idle: Duration::from_secs(15),
        }
    }
}
