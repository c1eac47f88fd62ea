//! Answers the update requests of other instances.

use {
    crate::{
        MemberRegistry, ReportOrigin, RequesterState, SpreadRequest, SpreadState, SpreadTimes,
        TimedReply,
    },
    bytes::Bytes,
    kernel::{WorkerPool, steady_clock},
    peer::{CallReply, PeerIncoming, ProtocolTag},
    relay::RateNews,
    std::sync::Arc,
    tokio::{
        sync::{Notify, mpsc, watch},
        time,
    },
};

/// Protocol tag of update requests.
pub const SPREAD_TAG: ProtocolTag = 0x40;

/// Server for update requests.
#[derive(Debug)]
pub struct SpreadServer {
    /// Notified when a request changes the next step of this instance.
    pub changed: Arc<Notify>,
    /// Known instances; each requester is added.
    pub members: MemberRegistry,
    /// Runs one task per request.
    pub pool: WorkerPool,
    /// The rate limits that upstreams state.
    pub rates: RateNews,
    /// Timing, such as how long a request is held back.
    pub times: SpreadTimes,
}

impl SpreadServer {
    /// Handles requests until the endpoint closes.
    pub async fn run(self, calls: mpsc::Receiver<PeerIncoming>) {
        let mut calls = calls;
        while let Some(incoming) = calls.recv().await {
            let PeerIncoming::Call { body, from, reply } = incoming else {
                continue;
            };
            let request = match postcard::from_bytes::<SpreadRequest>(&body) {
                Ok(request) if request.member.instance == from.instance => request,
                Ok(request) => {
                    tracing::warn!(instance = %from.instance, card = %request.member.instance, "an instance sent a request in the name of another one");
                    continue;
                }
                Err(error) => {
                    tracing::warn!(instance = %from.instance, %error, "failed to decode an update request");
                    continue;
                }
            };
            self.handle(request, reply);
        }
    }

    fn handle(&self, request: SpreadRequest, reply: CallReply) {
        self.members.add(&request.member);
        let now = steady_clock::now();
        if self
            .members
            .merge_reports(&request.reports, ReportOrigin::Instance, now)
        {
            self.changed.notify_one();
        }
        let requester = RequesterState {
            has_skipped_readers: request.has_skipped_readers,
            reads_store: request.reads_store,
        };
        self.rates.merge(&request.rates);
        let mut election = self.members.election.lock();
        if election.record_request(&request.member, requester, steady_clock::now()) {
            self.changed.notify_one();
        }
        drop(election);
        let state = self.members.state.subscribe();
        let times = self.times;
        let rates = self.rates.clone();
        self.pool.spawn(async move {
            // Dropping the reply refuses the call, and the requester tries another instance.
            if let Some(body) = answer(state, &rates, &request, &times).await {
                reply.send(body);
            }
        });
    }
}

/// Waits for an update, up to the time that requests are held back. Returns `None` when the process
/// ends.
async fn answer(
    state: watch::Receiver<SpreadState>,
    rates: &RateNews,
    request: &SpreadRequest,
    times: &SpreadTimes,
) -> Option<Bytes> {
    let mut state = state;
    let began = steady_clock::now();
    let before = state.borrow().update_count;
    let has_updates =
        |state: &SpreadState| state.has_updates(request, before, times, steady_clock::now());
    let hold = times.max_hold.saturating_sub(request.waited);
    let waiting = time::timeout(hold, state.wait_for(has_updates)).await;
    if let Ok(Err(_)) = waiting {
        return None;
    }
    drop(waiting);
    let now = steady_clock::now();
    let reply = TimedReply {
        held: now.saturating_duration_since(began),
        rates: rates.missing(request.rates_digest),
        reply: state.borrow().answer(request, times.max_staleness, now),
    };
    // Strings, numbers and durations always serialise.
    Some(Bytes::from(postcard::to_stdvec(&reply).ok()?))
}
