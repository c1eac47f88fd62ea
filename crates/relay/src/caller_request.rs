//! One request of a caller, read whole.

use {
    crate::{CustomerAccess, QuotaCharge, RequestTrace},
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, Uri, header},
    kernel::{ModelId, steady_clock},
    policy::{FingerprintParts, RequestFingerprint},
    std::{
        sync::{Arc, OnceLock},
        time::{Duration, Instant},
    },
    table::Rank,
};

/// Names one try of a caller; the caller's next try has another one.
pub type RequestId = Arc<str>;

/// What the head of a request says.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// The last event that the caller has of a stream that broke, if it comes back for the rest.
    pub after: Option<Arc<str>>,
    /// The id of this try.
    pub id: RequestId,
    /// The model and the size of the prompt; none for plain services.
    pub prompt: Option<PromptInfo>,
    /// How long the caller waits; none when it does not say.
    pub wait: Option<Duration>,
}

/// What a caller says of its prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptInfo {
    /// The model.
    pub model: Option<ModelId>,
    /// The caller's estimate of the output tokens, often far off; none when it gives none.
    pub hint: Option<u64>,
    /// The most output tokens.
    pub output: u64,
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// The tokens of the prompt.
    pub tokens: u64,
}

/// One part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The name of the part.
    pub id: Arc<str>,
    /// How many tokens it has.
    pub tokens: u64,
}

/// A request with its body.
#[derive(Debug)]
pub struct CallerRequest {
    /// Whose request it is; none where callers show no keys.
    pub access: Option<CustomerAccess>,
    /// The body.
    pub body: Bytes,
    /// What it took out of its customer's quota.
    pub charge: Option<QuotaCharge>,
    /// When its caller or its route gives it up.
    pub deadline: Instant,
    /// What its tries have in common, once somebody has asked for it.
    pub fingerprint: OnceLock<RequestFingerprint>,
    /// What the head says.
    pub head: CallerHead,
    /// The headers that go on to the upstream.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// Lower goes first: the customer's rank, or that of the row.
    pub rank: Rank,
    /// When it arrived.
    pub since: Instant,
    /// What happens to it.
    pub trace: RequestTrace,
    /// Path and query.
    pub target: Uri,
}

impl CallerRequest {
    /// What its tries have in common. It is worked out when it is asked for the first time: most requests need none.
    ///
    /// The address that a try comes from is no part of it: a caller that goes to another availability zone has another one there,
    /// and each would end upstreams anew.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let text = |name| {
                let value = self.headers.get(name);
                value
                    .and_then(|value: &HeaderValue| value.to_str().ok())
                    .unwrap_or_default()
            };
            let target = self.target.path_and_query();
            let customer = self.access.as_ref().map(|access| &*access.customer.id);
            RequestFingerprint::new(&FingerprintParts {
                body: &self.body,
                // Where customers are declared the headers have no credentials any more.
                caller: customer.unwrap_or(text(header::AUTHORIZATION)),
                host: text(header::HOST),
                method: self.method.as_str(),
                target: target.map_or("", |target| target.as_str()),
            })
        })
    }

    /// The time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(steady_clock::now())
    }

    /// The tokens of the prompt; 0 for plain services.
    pub fn prompt_tokens(&self) -> u64 {
        self.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens)
    }

    /// What the request is expected to take of a KV cache when it is whole, tokens.
    pub fn kv_tokens(&self) -> u64 {
        let prompt = self.head.prompt.as_ref();
        prompt.map_or(0, |prompt| {
            let output = prompt.hint.unwrap_or(prompt.output);
            prompt.tokens + output.min(prompt.output)
        })
    }
}
