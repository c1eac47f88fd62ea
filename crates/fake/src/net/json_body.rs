//! Extractor of JSON request bodies that ignores the content type.

use {
    axum::extract::{FromRequest, Request},
    bytes::Bytes,
    http::StatusCode,
    serde::de::DeserializeOwned,
};

/// Request body parsed as JSON; rejects invalid JSON with status 400 and the parse error.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonBody<T>(pub(crate) T);

impl<T, S> FromRequest<S> for JsonBody<T>
where
    T: DeserializeOwned,
    S: Send + Sync,
{
    type Rejection = (StatusCode, String);

    async fn from_request(request: Request, state: &S) -> Result<Self, Self::Rejection> {
        let bytes = Bytes::from_request(request, state).await;
        let bytes = bytes.map_err(|error| (error.status(), error.body_text()))?;
        match serde_json::from_slice(&bytes) {
            Err(error) => Err((StatusCode::BAD_REQUEST, error.to_string())),
            Ok(value) => Ok(Self(value)),
        }
    }
}
