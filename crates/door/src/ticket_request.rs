//! A fully buffered request that can be compared and forwarded.

use {
    crate::{
        completion_handler::read_body, error_answer::ErrorAnswer, ticket_frame::ForwardHead,
        work_header::WORK_HEADER,
    },
    axum::body::Body,
    bytes::Bytes,
    claim::{Ticket, ticket_state::RequestDigest},
    flow::RunDeadline,
    http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header},
    kernel::{ResultCode, seeded_rng},
    std::{sync::Arc, time::Instant},
};

/// The idempotency key that a caller chose for a request.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The ticket of a request.
pub const TICKET_HEADER: HeaderName = HeaderName::from_static("trestlewalk-ticket");

/// Headers that describe the transfer of the body or apply to a single connection.
const FRAMING_HEADERS: [HeaderName; 5] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TRANSFER_ENCODING,
    TICKET_HEADER,
];

/// A complete request. Clones share the body.
#[derive(Clone, Debug)]
pub(crate) struct TicketRequest {
    pub(crate) body: Bytes,
    headers: HeaderMap,
    method: Method,
    target: Uri,
}

impl TicketRequest {
    /// Distinguishes this request from others under the same ticket or key. Covers the method, the target, the kind of
    /// work, the caller and the body.
    pub(crate) fn digest(&self) -> RequestDigest {
        let parts = [
            self.method.as_str().as_bytes(),
            self.target.path().as_bytes(),
            self.target.query().unwrap_or_default().as_bytes(),
            self.header_bytes(&WORK_HEADER),
            self.scope(),
            &self.body,
        ];
        let mut digest = 0;
        for part in parts {
            digest = seeded_rng::mix(digest, part);
        }
        digest
    }

    /// Rebuilds a request that a peer forwarded. Returns `None` if its head is invalid.
    pub(crate) fn from_parts(head: ForwardHead, body: Bytes) -> Option<Self> {
        let mut headers = HeaderMap::new();
        for (name, value) in head.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(&value).ok()?);
        }
        Some(Self {
            body,
            headers,
            method: head.method.parse().ok()?,
            target: head.target.parse().ok()?,
        })
    }

    /// The head of the message that forwards this request to the origin of `ticket`.
    pub(crate) fn head(&self, ticket: &Ticket) -> ForwardHead {
        let mut headers = Vec::with_capacity(self.headers.len());
        for (name, value) in &self.headers {
            headers.push((Arc::from(name.as_str()), value.as_bytes().to_vec()));
        }
        ForwardHead {
            headers,
            method: self.method.as_str().into(),
            target: self.target.to_string().into(),
            ticket: ticket.clone(),
        }
    }

    /// Converts it into a request for the handlers, to be dispatched to an upstream before `run_by`.
    pub(crate) fn into_http(self, run_by: Instant) -> Request<Body> {
        let mut request = Request::new(Body::from(self.body));
        *request.headers_mut() = self.headers;
        *request.method_mut() = self.method;
        *request.uri_mut() = self.target;
        request.extensions_mut().insert(RunDeadline(run_by));
        request
    }

    /// Reads and buffers a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if the target is invalid, the body exceeds `limit` bytes or breaks off.
    pub(crate) async fn read(request: Request<Body>, limit: usize) -> Result<Self, ErrorAnswer> {
        let (mut parts, body) = request.into_parts();
        let target = parts.uri.path_and_query().map(|path| path.as_str());
        let target = target.unwrap_or("/").parse().map_err(|error| {
            let error: http::uri::InvalidUri = error;
            ErrorAnswer::of(ResultCode::RequestInvalid).with_detail(error)
        })?;
        let whole = Request::from_parts(parts.clone(), body);
        let body = read_body(whole, limit).await?;
        for name in FRAMING_HEADERS {
            parts.headers.remove(name);
        }
        Ok(Self {
            body,
            headers: parts.headers,
            method: parts.method,
            target,
        })
    }

    /// Identifies the caller by its `Authorization` header; empty without one.
    pub(crate) fn scope(&self) -> &[u8] {
        self.header_bytes(&header::AUTHORIZATION)
    }

    /// The kind of work that the request names. Without one, the path stands for the default kind.
    pub(crate) fn work(&self) -> &str {
        let named = self.headers.get(WORK_HEADER);
        let named = named.and_then(|value| value.to_str().ok());
        named.map_or(self.target.path(), str::trim)
    }

    fn header_bytes(&self, name: &HeaderName) -> &[u8] {
        self.headers.get(name).map_or(&[], HeaderValue::as_bytes)
    }
}
