//! How callers and upstreams speak: the seam between the request path and the names on the wire.

use {
    crate::{CallerHead, CallerRequest, RequestId},
    bytes::Bytes,
    http::{HeaderMap, Request, Uri, request, response},
    http_body_util::Full,
    policy::{CallerKey, UpstreamRecord},
    snafu::Snafu,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    table::Rank,
};

/// What is asked of an upstream.
#[derive(Clone, Debug)]
pub enum CallPurpose {
    /// Read the prompt and keep the KV cache for a transfer.
    Prefill,
    /// Run the request. `kv` is where its KV cache waits, `after` the last event that the caller has.
    Run {
        /// The last whole event that the caller has.
        after: Option<Arc<str>>,
        /// The KV cache to begin with.
        kv: Option<KvHandle>,
        /// The slot that was reserved for it.
        slot: Option<SlotName>,
    },
}

impl CallPurpose {
    /// The word for it in the log.
    pub fn verb(&self) -> &'static str {
        match self {
            Self::Prefill => "read",
            Self::Run { after: Some(_), .. } => "resume",
            Self::Run { .. } => "run",
        }
    }
}

/// Names a reserved slot: a slot and memory of one engine.
pub type SlotName = Arc<str>;

/// What an instance may leave at an engine that nobody uses any more.
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
    /// The upstream that keeps it.
    pub address: SocketAddr,
    /// Its name there.
    pub name: Arc<str>,
}

/// One call to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCall<'a> {
    /// The time that is left.
    pub left: Duration,
    /// What is asked.
    pub purpose: &'a CallPurpose,
    /// The rank of the work.
    pub rank: Rank,
    /// The request.
    pub request: &'a CallerRequest,
    /// The upstream.
    pub upstream: &'a UpstreamRecord,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default)]
pub struct ReplyFacts {
    /// The body has an encoding that nobody asked for, so it is not the upstream's body.
    pub is_encoded: bool,
    /// How long the upstream keeps the connection open while idle, if it says.
    pub idle_timeout: Option<Duration>,
    /// The upstream is another one than was expected, or does another stage. The request did not run.
    pub is_misdirected: bool,
    /// The upstream says that the request did not run.
    pub is_not_run: bool,
    /// The answer belongs to this request.
    pub is_same_request: bool,
    /// The answer is signed by the upstream.
    pub is_signed: bool,
    /// The connection ends after the answer.
    pub closes_connection: bool,
}

/// Why the head of a request can't be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum HeadFault {
    /// A header that must be there once is missing, is there twice, or has no such form.
    #[snafu(display("the header {name} is {fault}"))]
    Header {
        /// What is wrong with it.
        fault: &'static str,
        /// The header.
        name: &'static str,
    },
}

/// Why a request shows no key that could be looked up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum KeyFault {
    /// The header has no such form.
    #[snafu(display("malformed"))]
    Malformed,
    /// There is none.
    #[snafu(display("missing"))]
    Missing,
    /// Another scheme than the one for keys.
    #[snafu(display("of another scheme"))]
    OtherScheme,
    /// Longer than any key.
    #[snafu(display("too long"))]
    TooLong,
    /// The header is given twice: another reader might go by the other one.
    #[snafu(display("given twice"))]
    Twice,
}

/// How callers speak.
pub trait CallerDialect: Send + Sync + 'static {
    /// The key that a request shows.
    ///
    /// # Errors
    ///
    /// There is none, or none that could be looked up.
    fn caller_key(&self, headers: &HeaderMap) -> Result<CallerKey, KeyFault>;

    /// Takes out what tells who the caller is: the key, and what it says of itself.
    fn drop_identity(&self, headers: &mut HeaderMap);

    /// The headers that go on to the upstream.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// A header is missing or has no such form.
    fn read_head(&self, parts: &request::Parts) -> Result<CallerHead, HeadFault>;

    /// The id of a request for the log, if it has one that can be read.
    fn request_id<'a>(&self, parts: &'a request::Parts) -> Option<&'a str>;

    /// The headers that go back to the caller.
    fn returned_headers(&self, headers: &HeaderMap) -> HeaderMap;
}

/// How upstreams speak.
pub trait UpstreamDialect: Send + Sync + 'static {
    /// The call that frees what nobody uses any more.
    fn release_call(
        &self,
        upstream: &UpstreamRecord,
        resource: &EngineResource,
    ) -> Request<Full<Bytes>>;

    /// Reads the answer to a reservation; none when it can't be read.
    fn reserve_reply(&self, body: &[u8]) -> Option<SlotName>;

    /// The call that reserves a slot and so many tokens of memory for at most `life`.
    fn reserve_call(
        &self,
        upstream: &UpstreamRecord,
        tokens: u64,
        life: Duration,
    ) -> Request<Full<Bytes>>;

    /// The call for a purpose.
    fn call(&self, call: &UpstreamCall<'_>) -> Request<Full<Bytes>>;

    /// How long a server keeps an idle connection, if the head of its answer says so.
    fn idle_timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// The call that asks what an engine holds.
    fn held_parts_call(&self, upstream: &UpstreamRecord) -> Request<Full<Bytes>>;

    /// The parts that an engine says it holds; none when the answer can't be read.
    fn held_parts_reply(&self, body: &[u8]) -> Option<Vec<Arc<str>>>;

    /// Reads the head of an answer.
    fn reply_facts(&self, head: &response::Parts, request: &RequestId) -> ReplyFacts;

    /// Reads the answer to [`CallPurpose::Prefill`]; none when it can't be read.
    fn prefill_reply(&self, upstream: &UpstreamRecord, body: &[u8]) -> Option<KvHandle>;
}

/// The path of a request target; `/` when it has none.
pub fn target_path(target: &Uri) -> &str {
    match target.path() {
        "" => "/",
        path => path,
    }
}
