//! A caller's request, read in full.

use {
    crate::{CustomerAccess, QuotaCharge, RequestTrace, RunCount, UsedConnections},
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, Uri, header},
    kernel::{ModelId, steady_clock},
    policy::{RequestContent, SuspectId, SuspectPart, SuspectSet, ZoneFilter},
    std::{
        sync::{Arc, OnceLock},
        time::{Duration, Instant},
    },
    table::Rank,
    tokio::sync::OwnedSemaphorePermit,
};

/// Identifies one attempt of a caller; each retry has a new id.
pub type RequestId = Arc<str>;

/// What a request head says.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// The last event that the caller received, when it resumes a broken stream.
    pub after: Option<Arc<str>>,
    /// The id of this attempt.
    pub id: RequestId,
    /// The model and the size of the prompt; `None` for plain services.
    pub prompt: Option<PromptInfo>,
    /// The attempt that brought the first event of the stream to resume, as the caller names it.
    pub resumes: Option<RequestId>,
    /// The caller's timeout; `None` when the request names none.
    pub wait: Option<Duration>,
}

/// What a caller declares about its prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptInfo {
    /// The model; `None` when the caller names none.
    pub model: Option<ModelId>,
    /// The caller's estimate of the output, tokens; often far off. `None` when it gives none.
    pub hint: Option<u64>,
    /// Maximum output, tokens.
    pub output: u64,
    /// The parts of the prompt in order, as the prefix cache identifies them.
    pub parts: Vec<PromptPart>,
    /// Length of the prompt, tokens.
    pub tokens: u64,
}

/// One part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The id of the part.
    pub id: Arc<str>,
    /// Its length, tokens.
    pub tokens: u64,
}

/// A request with its body.
#[derive(Debug)]
pub struct CallerRequest {
    /// The authenticated customer; `None` when the route is public or no customers are declared.
    pub access: Option<CustomerAccess>,
    /// The body.
    pub body: Bytes,
    /// The memory that a large body takes while the request exists.
    pub body_memory: Option<OwnedSemaphorePermit>,
    /// What the request took from its customer's quota; given back if it did not run.
    pub charge: Option<QuotaCharge>,
    /// The connections that delivered an answer to it, rejections included.
    pub connections: UsedConnections,
    /// When the caller's timeout or the route's patience ends.
    pub deadline: Instant,
    /// What the head says.
    pub head: CallerHead,
    /// The headers to forward to the upstream.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// Lower ranks go first. The customer's rank overrides that of the route.
    pub rank: Rank,
    /// When the request arrived.
    pub since: Instant,
    /// The calls that may have run it.
    pub runs: RunCount,
    /// Computed on first use; see [`Self::suspects()`].
    pub suspects: OnceLock<SuspectSet>,
    /// Collects the steps for the log line at the end of the request.
    pub trace: RequestTrace,
    /// Path and query.
    pub target: Uri,
    /// The availability zones whose upstreams may process the request.
    pub zones: ZoneFilter,
}

impl CallerRequest {
    /// Records that a call that may run the request is about to be sent.
    pub fn begin_run(&self) {
        self.runs.begin();
        if let Some(charge) = &self.charge {
            charge.begin_call();
        }
    }

    /// Records the end of such a call, and whether it may have run the request.
    pub fn end_run(&self, has_run: bool) {
        if !has_run {
            self.runs.take_back();
        }
        if let Some(charge) = &self.charge {
            charge.end_call(has_run);
        }
    }

    /// The time left until the caller gives up, on this attempt and on those after it.
    pub fn caller_left(&self) -> Duration {
        match self.head.wait {
            Some(wait) => wait.saturating_sub(steady_clock::elapsed(self.since)),
            None => self.left(),
        }
    }

    /// The parts of the prompt that other requests may share; empty for plain services.
    pub fn shared_parts(&self) -> Arc<[SuspectPart]> {
        policy::shared_parts(self.part_names())
    }

    /// What the request casts suspicion on when its upstream crashes; it is the same for retries, which each have another
    /// id. Computed on first use, since most requests never need it.
    ///
    /// The caller's address is left out: a caller that retries through another availability zone has another address
    /// there, and each zone would lose upstreams to the same request anew.
    pub fn suspects(&self) -> &SuspectSet {
        self.suspects.get_or_init(|| {
            let text = |name| {
                let value = self.headers.get(name);
                value
                    .and_then(|value: &HeaderValue| value.to_str().ok())
                    .unwrap_or_default()
            };
            let target = self.target.path_and_query();
            let customer = self.access.as_ref().map(|access| &*access.customer.id);
            let request = SuspectId::request(&RequestContent {
                body: &self.body,
                // Where customers are declared, the headers carry no credentials any more.
                caller: customer.unwrap_or(text(header::AUTHORIZATION)),
                host: text(header::HOST),
                method: self.method.as_str(),
                target: target.map_or("", |target| target.as_str()),
            });
            SuspectSet::new(request, self.part_names())
        })
    }

    fn part_names(&self) -> impl DoubleEndedIterator<Item = &Arc<str>> {
        let prompt = self.head.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
        parts.iter().map(|part| &part.id)
    }

    /// The time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(steady_clock::now())
    }

    /// Length of the prompt, tokens; 0 for plain services.
    pub fn prompt_tokens(&self) -> u64 {
        self.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens)
    }

    /// Expected size of the KV cache at the end of the request, tokens: the prompt and the estimated output.
    pub fn kv_tokens(&self) -> u64 {
        let prompt = self.head.prompt.as_ref();
        prompt.map_or(0, |prompt| {
            let output = prompt.hint.unwrap_or(prompt.output);
            prompt.tokens + output.min(prompt.output)
        })
    }
}
