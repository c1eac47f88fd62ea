//! Answers other instances that ask for the next reading.

use {
    crate::{
        MemberRegistry, ReportOrigin, RequesterState, SpreadRequest, SpreadState, SpreadTimes,
        TimedReply,
    },
    bytes::Bytes,
    kernel::{WorkerPool, steady_clock},
    peer::{CallReply, PeerIncoming, ProtocolTag},
    std::sync::Arc,
    tokio::{
        sync::{Notify, mpsc, watch},
        time,
    },
};

/// Calls for readings.
pub const SPREAD_TAG: ProtocolTag = 0x40;

/// Answers calls until its end is dropped.
#[derive(Debug)]
pub struct SpreadServer {
    /// Rung when what this instance does next changes by a call.
    pub changed: Arc<Notify>,
    /// The instances; learns of each asker.
    pub members: MemberRegistry,
    /// Runs one task a call.
    pub pool: WorkerPool,
    /// How long a call is held.
    pub times: SpreadTimes,
}

impl SpreadServer {
    /// Takes calls until the endpoint closes.
    pub async fn run(self, calls: mpsc::Receiver<PeerIncoming>) {
        let mut calls = calls;
        while let Some(incoming) = calls.recv().await {
            let PeerIncoming::Call { body, from, reply } = incoming else {
                continue;
            };
            let request = match postcard::from_bytes::<SpreadRequest>(&body) {
                Ok(request) if request.member.instance == from.instance => request,
                Ok(request) => {
                    tracing::warn!(instance = %from.instance, card = %request.member.instance, "an instance asks as another one");
                    continue;
                }
                Err(error) => {
                    tracing::warn!(instance = %from.instance, %error, "a call for a reading can't be read");
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
        let asker = RequesterState {
            has_skipped_readers: request.has_skipped_readers,
            reads_store: request.reads_store,
        };
        let mut election = self.members.election.lock();
        if election.record_request(&request.member, asker, steady_clock::now()) {
            self.changed.notify_one();
        }
        drop(election);
        let state = self.members.state.subscribe();
        let times = self.times;
        self.pool.spawn(async move {
            // Dropping the reply refuses the call; the asker goes to another instance.
            if let Some(body) = answer(state, &request, &times).await {
                reply.send(body);
            }
        });
    }
}

/// Waits for news, no longer than calls are held. None at the end of the process.
async fn answer(
    state: watch::Receiver<SpreadState>,
    request: &SpreadRequest,
    times: &SpreadTimes,
) -> Option<Bytes> {
    let mut state = state;
    let began = steady_clock::now();
    let before = state.borrow().update_count;
    let is_news =
        |state: &SpreadState| state.has_updates(request, before, times, steady_clock::now());
    let hold = times.max_hold.saturating_sub(request.waited);
    let waiting = time::timeout(hold, state.wait_for(is_news)).await;
    if let Ok(Err(_)) = waiting {
        return None;
    }
    drop(waiting);
    let now = steady_clock::now();
    let reply = TimedReply {
        held: now.saturating_duration_since(began),
        reply: state.borrow().answer(request, times.max_staleness, now),
    };
    // Texts, numbers and times always have a binary form.
    Some(Bytes::from(postcard::to_stdvec(&reply).ok()?))
}
