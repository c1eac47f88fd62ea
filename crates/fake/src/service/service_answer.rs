//! What a plain service answers: it tells the request, so that a checker can match the two.

use {
    kernel::seeded_rng::mix,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The JSON body of a service's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceAnswer {
    /// The length of the request's body.
    pub body_bytes: u64,
    /// The hash of the request's body, 16 hexadecimal digits.
    pub body_hash: Arc<str>,
    /// The request's method.
    pub method: Arc<str>,
    /// The request's path and query.
    pub path: Arc<str>,
    /// The request's `X-Run-Key`, else its `X-Request-Id`, else empty.
    pub run_key: Arc<str>,
}

impl ServiceAnswer {
    /// The answer to a request.
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
