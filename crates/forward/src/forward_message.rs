//! The messages between an instance that forwards a request and the one that serves it. The order of fields is the wire
//! format.

use {
    crate::{ForwardError, forward_error::GarbledSnafu},
    http::{HeaderMap, HeaderName, HeaderValue},
    kernel::{CustomerId, ResultCode, ServiceId, TableVersion},
    peer::ProtocolTag,
    policy::RepeatRule,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::time::Duration,
};

/// Protocol tag of forwarding sessions, and of calls that ask for a [`policy::ReachReport`].
pub const FORWARD_TAG: ProtocolTag = 0x42;
/// Frame with a [`RequestHead`].
pub(crate) const REQUEST_FRAME: ProtocolTag = 1;
/// Frame with a part of a body, in either direction.
pub(crate) const BODY_FRAME: ProtocolTag = 2;
/// Frame with an [`AnswerHead`].
pub(crate) const ANSWER_FRAME: ProtocolTag = 3;
/// Frame with a [`Refusal`].
pub(crate) const REFUSAL_FRAME: ProtocolTag = 4;
/// The largest part of a body in one frame, bytes.
pub(crate) const MAX_PART_BYTES: usize = 32 << 10;

/// Headers in order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireHeaders(Vec<(String, Vec<u8>)>);

/// A request that is forwarded. Its body follows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestHead {
    /// The size of the body, bytes.
    pub body_bytes: usize,
    /// The identified customer, and the version of the table in which its key holds.
    pub customer: Option<(CustomerId, TableVersion)>,
    /// The time since the request arrived.
    pub elapsed: Duration,
    /// The headers for the upstream.
    pub headers: WireHeaders,
    /// The time left until the request's deadline.
    pub left: Duration,
    /// The method.
    pub method: String,
    /// The rule of the route by which the request was taken from its caller.
    pub repeat: RepeatRule,
    /// How often the request may have run.
    pub runs: u32,
    /// Path and query.
    pub target: String,
    /// On how many upstreams the request may run by that route.
    pub tries: u32,
}

/// The head of an upstream's answer. Its body follows, and the end of the session after it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerHead {
    /// The size of the body, bytes; `None` for a stream.
    pub body_bytes: Option<u64>,
    /// The headers for the caller.
    pub headers: WireHeaders,
    /// The status.
    pub status: u16,
}

/// The reply of an instance that has no answer of an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Why, and whether the request may have run at upstreams of that instance.
    pub code: ResultCode,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

/// Asks an instance whether it reaches a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReachQuery {
    /// The service.
    pub service: ServiceId,
}

impl From<&HeaderMap> for WireHeaders {
    fn from(headers: &HeaderMap) -> Self {
        let pairs = headers.iter();
        let pairs =
            pairs.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()));
        Self(pairs.collect())
    }
}

impl TryFrom<WireHeaders> for HeaderMap {
    type Error = ForwardError;

    fn try_from(headers: WireHeaders) -> Result<Self, ForwardError> {
        let mut map = Self::with_capacity(headers.0.len());
        for (name, value) in headers.0 {
            let name = HeaderName::try_from(name).map_err(garbled)?;
            map.append(name, HeaderValue::try_from(value).map_err(garbled)?);
        }
        Ok(map)
    }
}

/// Encodes a message.
pub(crate) fn encode(message: &impl Serialize) -> Result<Vec<u8>, ForwardError> {
    postcard::to_stdvec(message).map_err(garbled)
}

/// Decodes a message.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ForwardError> {
    postcard::from_bytes(bytes).map_err(garbled)
}

pub(crate) fn garbled(error: impl std::fmt::Display) -> ForwardError {
    GarbledSnafu {
        detail: error.to_string(),
    }
    .build()
}
