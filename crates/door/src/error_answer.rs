//! Error answers to callers.

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

/// The header with the number of the result code, present in every answer.
pub const RESULT_HEADER: HeaderName = HeaderName::from_static("trestlewalk-result");

/// The error object in a JSON body or in an event of a stream.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorObject {
    /// The number of the result code.
    pub code: u16,
    /// A description of the error in the request, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// The text of the result code.
    pub message: &'static str,
    /// The delay before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether it is certain that the request did not run.
    pub not_run: bool,
    /// The error type that OpenAI-compatible clients read: `not_run` or `outcome_unknown`.
    #[serde(rename = "type")]
    pub kind: &'static str,
}

/// The JSON body of an error answer.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// The error object.
    pub error: ErrorObject,
}

/// An error answer that can be sent as a response or as an event of a stream.
#[derive(Clone, Debug)]
pub struct ErrorAnswer {
    detail: Option<String>,
    failure: FlowFailure,
}

impl ErrorAnswer {
    /// Builds the JSON body.
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

    /// Creates an answer with a result code only.
    pub fn of(code: ResultCode) -> Self {
        FlowFailure::new(code).into()
    }

    /// Adds a description of the error.
    pub fn with_detail(mut self, detail: impl ToString) -> Self {
        self.detail = Some(detail.to_string());
        self
    }

    /// Adds a delay before a retry.
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

/// Rounds up, because `Retry-After` has whole seconds and a caller that retries too early is refused again.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
