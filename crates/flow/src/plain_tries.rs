//! The tries of one request to a plain service. Pure: it decides whether there is a further one, and what is true at last.

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
    /// The head of a request without a body: what is needed to send it again.
    template: Option<Parts>,
    /// The replicas that were tried.
    pub tried: Vec<UpstreamId>,
    /// The first failure of a try that may have run.
    unknown: Option<FlowFailure>,
}

impl<B: Body + Default> PlainTries<B> {
    /// The code that is true in the end: when a try may have run, that try's.
    pub fn end(self, failure: FlowFailure) -> FlowFailure {
        self.unknown.unwrap_or(failure)
    }

    /// No try yet.
    pub fn new(row: &WorkRow, request: &Request<B>) -> Self {
        let is_empty = request.body().is_end_stream();
        // A request under a ticket runs once, whatever its row says.
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

    /// The request of a further try after one that failed, if there is one: a request that was never written goes on as
    /// it is, one that may have run is made anew if its row repeats.
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

    /// Whether the next try wants a connection of its own: a kept one that closes while idle would make the outcome
    /// unknown, or spend a further try.
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
