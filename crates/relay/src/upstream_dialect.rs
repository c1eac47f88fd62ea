//! The wire protocols of callers and upstreams, which separate the request path from the names on the wire.

use {
    crate::{CallerHead, CallerRequest},
    bytes::Bytes,
    http::{HeaderMap, HeaderName, Request, StatusCode, Uri, request, response},
    http_body_util::Full,
    policy::{CallerKey, UpstreamRecord, UpstreamStatement},
    snafu::Snafu,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    table::Rank,
};

/// What an upstream is asked to do.
#[derive(Clone, Debug)]
pub enum CallPurpose {
    /// Prefill the prompt and keep the KV cache for a transfer.
    Prefill,
    /// Run the request.
    Run {
        /// The last complete event that the caller has, to resume after; `None` to start anew.
        after: Option<Arc<str>>,
        /// The KV cache to start from; `None` when the engine prefills the prompt itself.
        kv: Option<KvHandle>,
        /// The slot that was reserved for the request.
        slot: Option<SlotName>,
    },
}

impl CallPurpose {
    /// The verb in the log.
    pub fn verb(&self) -> &'static str {
        match self {
            Self::Prefill => "read",
            Self::Run { after: Some(_), .. } => "resume",
            Self::Run { .. } => "run",
        }
    }
}

/// Identifies a reservation of a slot and memory at one engine.
pub type SlotName = Arc<str>;

/// A resource that an instance holds at an engine and has to release when it is not used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineResource {
    /// A KV cache that waits for its transfer.
    Kv(KvHandle),
    /// A reserved slot.
    Slot(SlotName),
}

/// A KV cache that waits for its transfer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvHandle {
    /// The address of the engine that keeps it.
    pub address: SocketAddr,
    /// Its name at that engine.
    pub name: Arc<str>,
}

/// One call to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCall<'a> {
    /// The time left until the deadline.
    pub left: Duration,
    /// What the upstream is asked to do.
    pub purpose: &'a CallPurpose,
    /// The rank of the request.
    pub rank: Rank,
    /// The request.
    pub request: &'a CallerRequest,
    /// The upstream.
    pub upstream: &'a UpstreamRecord,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default)]
pub struct ReplyFacts {
    /// The body has an encoding that was not requested, so it is not the upstream's own.
    pub is_encoded: bool,
    /// The idle timeout that the upstream states for its connections.
    pub idle_timeout: Option<Duration>,
    /// The request reached another upstream than intended, or one of another stage; it did not run.
    pub is_misdirected: bool,
    /// The upstream states that the request did not run.
    pub is_not_run: bool,
    /// The answer carries the upstream's signature.
    pub is_signed: bool,
    /// The upstream closes the connection after the answer.
    pub closes_connection: bool,
    /// What the upstream states about itself.
    pub statement: UpstreamStatement,
}

/// Why the head of a request is invalid.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum HeadFault {
    /// A required header is missing, a header is repeated, or it is malformed.
    #[snafu(display("the header {name} is {fault}"))]
    Header {
        /// What is wrong.
        fault: &'static str,
        /// The name of the header.
        name: &'static str,
    },
}

/// Why a request carries no usable key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum KeyFault {
    /// The header is malformed.
    #[snafu(display("malformed"))]
    Malformed,
    /// There is no key.
    #[snafu(display("missing"))]
    Missing,
    /// The header uses another scheme than that of keys.
    #[snafu(display("of another scheme"))]
    OtherScheme,
    /// The key is longer than any valid one.
    #[snafu(display("too long"))]
    TooLong,
    /// The header is repeated: another server might use the other value.
    #[snafu(display("given twice"))]
    Twice,
}

/// The protocol of callers.
pub trait CallerDialect: Send + Sync + 'static {
    /// The key of a request.
    ///
    /// # Errors
    ///
    /// There is no key, or none that can be looked up.
    fn caller_key(&self, headers: &HeaderMap) -> Result<CallerKey, KeyFault>;

    /// Removes the headers that identify the caller: its key, and the identity that it claims.
    fn drop_identity(&self, headers: &mut HeaderMap);

    /// The headers to forward to the upstream.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// A header is missing, repeated or malformed.
    fn read_head(&self, parts: &request::Parts) -> Result<CallerHead, HeadFault>;

    /// The id of a request for the log, if it has a readable one.
    fn request_id<'a>(&self, parts: &'a request::Parts) -> Option<&'a str>;

    /// The headers to return to the caller.
    fn returned_headers(&self, headers: &HeaderMap) -> HeaderMap;
}

/// The protocol of upstreams.
pub trait UpstreamDialect: Send + Sync + 'static {
    /// The header in which an answer names its request.
    const REQUEST_ID: HeaderName;

    /// Builds the request that releases an unused resource.
    fn release_call(
        &self,
        upstream: &UpstreamRecord,
        resource: &EngineResource,
    ) -> Request<Full<Bytes>>;

    /// Parses the answer to a reservation; `None` when it is malformed.
    fn reserve_reply(&self, body: &[u8]) -> Option<SlotName>;

    /// Builds the request that reserves a slot and `tokens` tokens of memory for at most `life`.
    fn reserve_call(
        &self,
        upstream: &UpstreamRecord,
        tokens: u64,
        life: Duration,
    ) -> Request<Full<Bytes>>;

    /// Builds the request for a call.
    fn call(&self, call: &UpstreamCall<'_>) -> Request<Full<Bytes>>;

    /// The idle timeout that a server states in the head of its answer.
    fn idle_timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Builds the request for the list of cached prompt parts.
    fn held_parts_call(&self, upstream: &UpstreamRecord) -> Request<Full<Bytes>>;

    /// Parses the list of cached prompt parts; `None` when it is malformed.
    fn held_parts_reply(&self, body: &[u8]) -> Option<Vec<Arc<str>>>;

    /// Builds the request for an engine's report on itself.
    fn memory_call(&self, upstream: &UpstreamRecord) -> Request<Full<Bytes>>;

    /// The memory of an engine by its report, tokens; `None` when the report is malformed.
    fn memory_reply(&self, body: &[u8]) -> Option<u64>;

    /// Interprets the head of an answer.
    fn reply_facts(&self, head: &response::Parts) -> ReplyFacts;

    /// Whether this system knows a header of an answer, be it to read it or to leave it alone.
    fn is_known_header(&self, name: &HeaderName) -> bool;

    /// What an upstream states about itself in the head of any answer.
    fn statement(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamStatement;

    /// Parses the answer to [`CallPurpose::Prefill`]; `None` when it is malformed.
    fn prefill_reply(&self, upstream: &UpstreamRecord, body: &[u8]) -> Option<KvHandle>;
}

/// The path of a request target; `/` when it is empty.
pub fn target_path(target: &Uri) -> &str {
    match target.path() {
        "" => "/",
        path => path,
    }
}
