//! Response of a plain service, which describes the request so that a checker can match the two.

use {
    kernel::seeded_rng::mix,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// JSON body of a service's response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceAnswer {
    /// Length of the request body.
    pub body_bytes: u64,
    /// Hash of the request body as 16 hexadecimal digits.
    pub body_hash: Arc<str>,
    /// Request method.
    pub method: Arc<str>,
    /// Request path and query.
    pub path: Arc<str>,
    /// Value of `X-Run-Key`, else of `X-Request-Id`, else empty.
    pub run_key: Arc<str>,
}

impl ServiceAnswer {
    /// Returns the expected response to a request.
    pub fn expected(method: &str, path: &str, run_key: &str, body: &[u8]) -> Self {
        Self::from_hash(method, path, run_key, body.len() as u64, mix(0, body))
    }

    pub(crate) fn from_hash(
        method: &str,
        path: &str,
        run_key: &str,
        bytes: u64,
        hash: u64,
    ) -> Self {
        Self {
            body_bytes: bytes,
            body_hash: Arc::from(format!("{hash:016x}")),
            method: Arc::from(method),
            path: Arc::from(path),
            run_key: Arc::from(run_key),
        }
    }
}
