//! Answers other instances that ask for the next reading.

use {
    crate::{ReaderPlan, SpreadRequest, SpreadState},
    bytes::Bytes,
    kernel::{InstanceId, RankedLock, WorkerPool},
    peer::{CallReply, PeerIncoming, ProtocolTag},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, watch},
        time,
    },
};

/// Calls for readings.
pub const SPREAD_TAG: ProtocolTag = 0x40;
/// An asker has given up by then.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Answers calls until its end is dropped.
#[derive(Debug)]
pub struct SpreadServer {
    /// Who reads; learns of each asker.
    pub plan: Arc<RankedLock<ReaderPlan>>,
    /// Runs one task a call.
    pub pool: WorkerPool,
    /// What was read.
    pub state: watch::Receiver<SpreadState>,
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
                Ok(request) => request,
                Err(error) => {
                    tracing::warn!(instance = %from.instance, %error, "a call for a reading can't be read");
                    continue;
                }
            };
            self.take(&from.instance, request, reply);
        }
    }

    fn take(&self, from: &InstanceId, request: SpreadRequest, reply: CallReply) {
        self.plan.lock().asked(from, Instant::now());
        let state = self.state.clone();
        self.pool.spawn(async move {
            let answering = time::timeout(ANSWER_LIMIT, answer(state, request));
            match answering.await {
                Ok(Some(body)) => reply.send(body),
                // Dropping the reply refuses the call; the asker reads the store itself.
                Ok(None) | Err(_) => drop(reply),
            }
        });
    }
}

/// Waits for the next reading of the list, or for routes that the asker does not have. None at the end of the process.
async fn answer(state: watch::Receiver<SpreadState>, request: SpreadRequest) -> Option<Bytes> {
    let mut state = state;
    let before = state.borrow().readings;
    let is_news = |state: &SpreadState| {
        state.readings > before || before > 0 && !state.unreadable && state.has_newer_book(&request)
    };
    let news = state.wait_for(is_news).await.ok()?;
    let reply = news.answer(&request, Instant::now());
    // Texts, numbers and times always have a binary form.
    Some(Bytes::from(postcard::to_stdvec(&reply).ok()?))
}
