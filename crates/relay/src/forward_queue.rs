//! The queue of requests that are to be forwarded to other instances.

use {
    crate::{CallerRequest, ErrorResponse, RelayBody, WorkRoute},
    http::Response,
    kernel::{ResultCode, ServiceId},
    std::sync::{Arc, OnceLock},
    tokio::sync::{mpsc, oneshot},
};

/// Requests that may wait to be taken; further ones are not forwarded.
const MAX_WAITING: usize = 256;

/// A request for another instance.
#[derive(Debug)]
pub struct ForwardJob {
    /// Takes the outcome. It is closed when the caller has left.
    pub reply: oneshot::Sender<ForwardEnd>,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// Its route.
    pub route: Arc<WorkRoute>,
    /// How often it may have run already.
    pub runs: u32,
    /// The service that it is for.
    pub service: ServiceId,
}

/// How forwarding ended.
#[derive(Debug)]
pub enum ForwardEnd {
    /// The answer of an upstream.
    Answer(Response<RelayBody>),
    /// Whether it ran is unknown.
    Lost(ResultCode),
    /// No instance took it.
    NoHelper,
    /// The instances that were asked state that it did not run.
    Refused(ErrorResponse),
}

/// Takes requests from the request path. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ForwardQueue {
    jobs: Arc<OnceLock<mpsc::Sender<ForwardJob>>>,
}

impl ForwardQueue {
    /// Whether requests are forwarded at all.
    pub fn is_open(&self) -> bool {
        self.jobs.get().is_some()
    }

    /// Forwards a request and waits for the head of the answer.
    pub async fn forward(
        &self,
        request: &Arc<CallerRequest>,
        route: &Arc<WorkRoute>,
        service: &ServiceId,
        runs: u32,
    ) -> ForwardEnd {
        let Some(jobs) = self.jobs.get() else {
            return ForwardEnd::NoHelper;
        };
        let (reply, end) = oneshot::channel();
        let job = ForwardJob {
            reply,
            request: request.clone(),
            route: route.clone(),
            runs,
            service: service.clone(),
        };
        if jobs.try_send(job).is_err() {
            return ForwardEnd::NoHelper;
        }
        // The job is dropped without an outcome only when the process ends.
        end.await
            .unwrap_or(ForwardEnd::Lost(ResultCode::CutByClose))
    }

    /// Opens the queue; requests are taken from the receiver. `None` if it is open already.
    pub fn open(&self) -> Option<mpsc::Receiver<ForwardJob>> {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        self.jobs.set(sender).ok()?;
        Some(receiver)
    }
}
