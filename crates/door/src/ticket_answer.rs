//! An answer that is stored and returned to repeated submissions of its ticket.

use {
    crate::{
        error_answer::RESULT_HEADER,
        ticket_frame::{HeaderPair, ReplyHead},
    },
    axum::body::Body,
    axum::response::Response,
    claim::AnswerSize,
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
    kernel::ResultCode,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A complete answer. `body` is `None` if it was too large to store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TicketAnswer {
    pub(crate) body: Option<Vec<u8>>,
    pub(crate) head: ReplyHead,
}

impl AnswerSize for TicketAnswer {
    fn size(&self) -> usize {
        let Some(body) = &self.body else {
            return usize::MAX;
        };
        let headers = self.head.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        body.len() + headers
    }
}

impl TicketAnswer {
    /// Converts the stored answer into a response to a caller.
    pub(crate) fn into_response(self) -> Response {
        self.head
            .into_response(Body::from(self.body.unwrap_or_default()))
    }
}

impl ReplyHead {
    /// Copies the status and headers of a response.
    pub(crate) fn of(response: &Response) -> Self {
        Self {
            headers: header_pairs(response.headers()),
            status: response.status().as_u16(),
        }
    }

    /// Builds a response with this head. Invalid headers are omitted.
    pub(crate) fn into_response(self, body: Body) -> Response {
        let mut response = Response::new(body);
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        for (name, value) in self.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) else {
                continue;
            };
            response.headers_mut().append(name, value);
        }
        response
    }
}

/// Returns the result code in the headers of a response, or `None` if it is missing or unknown.
pub(crate) fn result_code(response: &Response) -> Option<ResultCode> {
    let value = response.headers().get(RESULT_HEADER)?;
    let number: u16 = value.to_str().ok()?.parse().ok()?;
    let mut codes = ResultCode::ALL.iter().copied();
    codes.find(|code| code.number() == number)
}

fn header_pairs(headers: &HeaderMap) -> Vec<HeaderPair> {
    let mut pairs = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        pairs.push((Arc::from(name.as_str()), value.as_bytes().to_vec()));
    }
    pairs
}
