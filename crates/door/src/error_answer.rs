//! Answers that say why there is no answer.

use {
    axum::{
        Json,
        response::{IntoResponse, Response},
    },
    flow::FlowFailure,
    http::{HeaderName, HeaderValue, StatusCode, header},
    kernel::ResultCode,
    serde::Serialize,
    std::time::Duration,
};

/// The header that carries the numbered result of every answer.
pub const RESULT_HEADER: HeaderName = HeaderName::from_static("trestlewalk-result");

/// The error object of an answer, as JSON or as an event of a stream.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorObject {
    /// The result code's number.
    pub code: u16,
    /// What the caller sent that is wrong, where that helps.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// What the code means.
    pub message: &'static str,
    /// When to come back, milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether the request certainly did not run.
    pub not_run: bool,
    /// The name that OpenAI-style clients look for.
    #[serde(rename = "type")]
    pub kind: &'static str,
}

/// The body of an error answer.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorObject,
}

/// One error answer.
#[derive(Clone, Debug)]
pub struct ErrorAnswer {
    detail: Option<String>,
    failure: FlowFailure,
}

impl ErrorAnswer {
    /// The body.
    pub fn body(&self) -> ErrorBody {
        let code = self.failure.code;
        ErrorBody {
            error: ErrorObject {
                code: code.number(),
                detail: self.detail.clone(),
                kind: if code.not_run() {
                    "not_run"
                } else {
                    "outcome_unknown"
                },
                message: code.text(),
                not_run: code.not_run(),
                retry_after_ms: self.failure.retry_after.map(millis),
            },
        }
    }

    /// An answer of a code alone.
    pub fn of(code: ResultCode) -> Self {
        FlowFailure::new(code).into()
    }

    /// Adds what is wrong.
    pub fn with_detail(mut self, detail: impl ToString) -> Self {
        self.detail = Some(detail.to_string());
        self
    }

    /// Adds when to come back.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.failure.retry_after = Some(retry_after);
        self
    }
}

impl From<FlowFailure> for ErrorAnswer {
    fn from(failure: FlowFailure) -> Self {
        Self {
            detail: None,
            failure,
        }
    }
}

impl IntoResponse for ErrorAnswer {
    fn into_response(self) -> Response {
        let code = self.failure.code;
        let status =
            StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, Json(self.body())).into_response();
        let headers = response.headers_mut();
        headers.insert(RESULT_HEADER, HeaderValue::from(code.number()));
        if let Some(retry_after) = self.failure.retry_after {
            headers.insert(
                header::RETRY_AFTER,
                HeaderValue::from(whole_seconds(retry_after)),
            );
        }
        response
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// `Retry-After` has whole seconds; a caller that comes back too early is refused again, so that they are rounded up.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
