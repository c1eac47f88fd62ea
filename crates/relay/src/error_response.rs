//! Responses for requests that the system itself did not serve.

use {
    crate::RelayBody,
    http::{HeaderName, HeaderValue, Response, StatusCode, header},
    kernel::ResultCode,
    std::time::Duration,
};

/// Carries the result code on responses of the system's own.
const RESULT_HEADER: HeaderName = HeaderName::from_static("trestlewalk-result");

/// A response of the system's own, for a request that got no answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorResponse {
    /// The result code, which determines status and text.
    pub code: ResultCode,
    /// When the caller may retry; set only for requests that did not run.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// A response without a retry delay.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// A response with a retry delay.
    pub fn with_retry_after(code: ResultCode, after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(after),
        }
    }

    /// Chooses between this response and a later one of the same request. Once the request may have run, the outcome is
    /// never one that states that it did not.
    pub fn merge(self, later: Self, has_run: bool) -> Self {
        if !has_run || !later.code.not_run() {
            return later;
        }
        match self.code.not_run() {
            true => Self::new(ResultCode::UpstreamLost),
            false => self,
        }
    }

    /// Converts it to an HTTP response.
    pub fn into_response(self) -> Response<RelayBody> {
        let status = StatusCode::from_u16(self.code.status());
        let mut response = Response::new(RelayBody::whole(self.code.text()));
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        headers.insert(RESULT_HEADER, HeaderValue::from(self.code.number()));
        if let Some(after) = self.retry_after
            && let Ok(value) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64()))
        {
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }
}
