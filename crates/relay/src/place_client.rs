//! Asks the schedulers for decode places, and keeps those that this instance holds.

use {
    crate::{
        HeldEntry, PlaceAnswer, PlaceCounts, PlaceJob, PlaceOutcome, PlaceScope, RequestTrace,
    },
    kernel::{LockRank, RankedLock, steady_clock},
    sched::{HeldStream, PlaceKey, PlaceNote, PlaceReply, PlaceRequest},
    std::{
        collections::BTreeMap,
        sync::{Arc, OnceLock},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time,
    },
};

/// Jobs that may wait to be taken; requests beyond them go on by the own view, and reports beyond them are made up for by
/// the next announcement.
const MAX_WAITING: usize = 4_096;
/// The places that are announced; what an instance holds beyond them is unknown to schedulers.
const MAX_HELD: usize = 4_096;
/// How long a scheduler may keep the call of a queued request.
const MAX_POLL: Duration = Duration::from_millis(100);
/// The shortest time from one call of a queued request to the next.
const MIN_POLL: Duration = Duration::from_millis(10);

/// The places of this instance. Clones share them.
#[derive(Clone, Debug)]
pub struct PlaceClient {
    /// The metrics.
    pub counts: PlaceCounts,
    held: Arc<RankedLock<BTreeMap<PlaceKey, Arc<HeldEntry>>>>,
    jobs: Arc<OnceLock<mpsc::Sender<PlaceJob>>>,
}

/// Reports that the caller left, unless the request was decided.
struct AskedPlace<'a> {
    client: &'a PlaceClient,
    key: &'a PlaceKey,
    scope: &'a PlaceScope,
    is_decided: bool,
}

impl Drop for AskedPlace<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            let note = PlaceNote::Left(self.key.clone());
            self.client.note(self.scope.clone(), note);
        }
    }
}

impl PlaceClient {
    /// A client without places.
    pub fn new(counts: PlaceCounts) -> Self {
        Self {
            counts,
            held: Arc::new(RankedLock::new(LockRank::Places, BTreeMap::new())),
            jobs: Arc::default(),
        }
    }

    /// Whether schedulers are asked at all.
    pub fn is_open(&self) -> bool {
        self.jobs.get().is_some()
    }

    /// Opens the queue of jobs; they are taken from the receiver. `None` if it is open already.
    pub fn open(&self) -> Option<mpsc::Receiver<PlaceJob>> {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        self.jobs.set(sender).ok()?;
        Some(receiver)
    }

    /// Asks for a place, again and again while the request is queued, at most until `until`. The answer is queued when it
    /// still was then, and unknown when no scheduler decides.
    pub async fn find(
        &self,
        scope: &PlaceScope,
        request: PlaceRequest,
        until: Instant,
        trace: &RequestTrace,
    ) -> PlaceAnswer {
        self.counts.note(PlaceOutcome::Asked);
        let began = steady_clock::now();
        let mut asked = AskedPlace {
            client: self,
            key: &request.key,
            scope,
            is_decided: false,
        };
        let mut is_queued = false;
        loop {
            let now = steady_clock::now();
            let age = now - began;
            let current = PlaceRequest {
                first_event_left: request.first_event_left.saturating_sub(age),
                left: request.left.saturating_sub(age),
                target_left: request.target_left.saturating_sub(age),
                ..request.clone()
            };
            let wait = until.saturating_duration_since(now).min(MAX_POLL);
            let answer = self.submit(scope, current, wait).await;
            if answer.reply != PlaceReply::Queued {
                asked.is_decided = answer.reply != PlaceReply::Unknown;
                return answer;
            }
            if !std::mem::replace(&mut is_queued, true) {
                trace.note(format_args!("queued"));
            }
            if steady_clock::now() >= until {
                return answer;
            }
            time::sleep(MIN_POLL.saturating_sub(steady_clock::elapsed(now))).await;
        }
    }

    /// Reports to the scheduler of a cell. A report that can't be passed on is dropped.
    pub fn note(&self, scope: PlaceScope, note: PlaceNote) {
        let Some(jobs) = self.jobs.get() else {
            return;
        };
        if let Err(error) = jobs.try_send(PlaceJob::Note { note, scope }) {
            tracing::debug!(%error, "a report to a scheduler is dropped");
        }
    }

    /// The places held in each cell, in the order of their attempts.
    pub fn held(&self) -> BTreeMap<PlaceScope, Vec<HeldStream>> {
        let mut streams: BTreeMap<PlaceScope, Vec<HeldStream>> = BTreeMap::new();
        for entry in self.held.lock().values() {
            let list = streams.entry(entry.scope.clone()).or_default();
            list.push(entry.stream());
        }
        streams
    }

    /// The places held in one cell.
    pub fn held_in(&self, scope: &PlaceScope) -> Vec<HeldStream> {
        let held = self.held.lock();
        let entries = held.values().filter(|entry| entry.scope == *scope);
        entries.map(|entry| entry.stream()).collect()
    }

    /// The number of places held.
    pub fn held_count(&self) -> usize {
        self.held.lock().len()
    }

    pub(crate) fn hold(&self, entry: Arc<HeldEntry>) {
        let mut held = self.held.lock();
        if held.len() < MAX_HELD {
            held.insert(entry.key().clone(), entry);
        }
    }

    pub(crate) fn release(&self, key: &PlaceKey) {
        self.held.lock().remove(key);
    }

    async fn submit(
        &self,
        scope: &PlaceScope,
        request: PlaceRequest,
        wait: Duration,
    ) -> PlaceAnswer {
        let Some(jobs) = self.jobs.get() else {
            return PlaceAnswer::none();
        };
        let (reply, answer) = oneshot::channel();
        let job = PlaceJob::Submit {
            reply,
            request,
            scope: scope.clone(),
            wait,
        };
        if let Err(error) = jobs.try_send(job) {
            tracing::warn!(%error, "too many requests for places");
            return PlaceAnswer::none();
        }
        // The job is dropped without an answer only when the process ends.
        answer.await.unwrap_or_else(|_| PlaceAnswer::none())
    }
}
