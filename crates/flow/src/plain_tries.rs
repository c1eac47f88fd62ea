//! The tries of one request to a plain service. Does no I/O; it decides whether to try again and which result is final.

use {
    crate::{flow_failure::FlowFailure, run_deadline::RunDeadline},
    http::{Request, request::Parts},
    hyper::body::Body,
    kernel::UpstreamId,
    std::marker::PhantomData,
    table::WorkRow,
};

/// The tries of one request.
#[derive(Debug)]
pub struct PlainTries<B> {
    body: PhantomData<fn() -> B>,
    left: u8,
    repeat: bool,
    /// The head of a request that may be sent again; `None` if it has a body or may not be repeated.
    template: Option<Parts>,
    /// The replicas that failed.
    pub tried: Vec<UpstreamId>,
    /// The first failure of a try that may have run.
    unknown: Option<FlowFailure>,
}

impl<B: Body + Default> PlainTries<B> {
    /// The final failure. A try that may have run takes precedence over `failure`.
    pub fn end(self, failure: FlowFailure) -> FlowFailure {
        self.unknown.unwrap_or(failure)
    }

    /// Creates the state before the first try.
    pub fn new(row: &WorkRow, request: &Request<B>) -> Self {
        let is_empty = request.body().is_end_stream();
        // A request with a ticket runs only once, whatever its row allows.
        let has_ticket = request.extensions().get::<RunDeadline>().is_some();
        let may_repeat = row.repeat && is_empty && !has_ticket;
        let template = may_repeat.then(|| head_of(request));
        Self {
            body: PhantomData,
            left: row.retries,
            repeat: row.repeat,
            template,
            tried: Vec::new(),
            unknown: None,
        }
    }

    /// The request for the next try after a failed one; `None` if there is no further try. A request that was never
    /// written is reused, and one that may have run is rebuilt if its row allows repeats.
    pub fn next(
        &mut self,
        upstream: UpstreamId,
        unsent: Option<Request<B>>,
        failure: FlowFailure,
    ) -> Option<Request<B>> {
        if unsent.is_none() && !failure.code.not_run() {
            self.unknown.get_or_insert(failure);
        }
        if self.left == 0 {
            return None;
        }
        let next = match unsent {
            Some(request) => request,
            None => Request::from_parts(self.template.clone()?, B::default()),
        };
        self.left -= 1;
        self.tried.push(upstream);
        Some(next)
    }

    /// Whether the next try needs a new connection. A pooled connection that closes while idle would make the outcome
    /// unknown or cost another try.
    pub fn wants_fresh(&self) -> bool {
        !self.repeat || !self.tried.is_empty()
    }
}

fn head_of<B>(request: &Request<B>) -> Parts {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = request.method().clone();
    parts.uri = request.uri().clone();
    parts.version = request.version();
    parts.headers = request.headers().clone();
    parts
}
