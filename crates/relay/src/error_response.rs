//! How a request ends for its caller.

use {
    crate::RelayBody,
    http::{HeaderName, HeaderValue, Response, StatusCode, header},
    kernel::ResultCode,
    std::time::Duration,
};

/// The header with the numbered result, on answers of our own.
const RESULT_HEADER: HeaderName = HeaderName::from_static("trestlewalk-result");

/// An answer of our own: the request was not served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorResponse {
    /// The numbered result.
    pub code: ResultCode,
    /// When the caller may come back, for requests that did not run.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// An answer without a time to come back.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// An answer that tells when to come back.
    pub fn with_retry_after(code: ResultCode, after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(after),
        }
    }

    /// The truer of this answer and a later one. Once a request may have run, no later outcome can make it one that did not.
    pub fn merge(self, later: Self, has_run: bool) -> Self {
        match has_run && later.code.not_run() && !self.code.not_run() {
            true => self,
            false => later,
        }
    }

    /// The response.
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
