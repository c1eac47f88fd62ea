//! Limits on what callers may send and how long their connections may stay idle.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Limits on callers, set by the operators.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a body, bytes.
    pub body: usize,
    /// How long a connection may stay open without a request.
    pub idle: Duration,
    /// Maximum size of a request head, bytes.
    pub headers: usize,
}

impl Default for CallerLimits {
    /// The limits in effect until the operators' own are read: the defaults of common HTTP servers.
    fn default() -> Self {
        Self {
            body: 4 << 20,
            headers: 16 << 10,
            idle: Duration::from_secs(15),
        }
    }
}
