//! Callers that go on calling the members of a fleet while those come and go.

use {
    super::{CallReply, Fleet, HttpCall, fleet::CallerEndpoint},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
    tokio::task::JoinHandle,
};

/// The code of a whole answer.
const ANSWERED: u16 = 1000;
/// The codes of a request that did not run.
const NOT_RUN: std::ops::Range<u16> = 2000..3000;
/// What an error says when no connection was made, so that nothing was sent.
const NEVER_CONNECTED: &str = "Error(Connect";

/// What became of the calls.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Calls with the whole answer.
    pub answered: usize,
    /// Calls with another end, by entry instance.
    pub lost: BTreeMap<String, Vec<String>>,
    /// Calls that were told that they did not run.
    pub not_run: usize,
    /// Calls that found nobody to connect to.
    pub unconnected: usize,
}

impl LoadReport {
    /// The lost calls at all instances but one.
    pub fn lost_except(&self, entry: &str) -> Vec<&String> {
        let others = self.lost.iter().filter(|(name, _)| *name != entry);
        others.flat_map(|(_, errors)| errors).collect()
    }

    fn record(&mut self, entry: &str, result: Result<CallReply, String>) {
        let error = match result {
            Ok(reply) if reply.code() == ANSWERED => {
                self.answered += 1;
                return;
            }
            Ok(reply) if NOT_RUN.contains(&reply.code()) => {
                self.not_run += 1;
                return;
            }
            Err(error) if error.contains(NEVER_CONNECTED) => {
                self.unconnected += 1;
                return;
            }
            Ok(reply) => reply.text(),
            Err(error) => error,
        };
        self.lost.entry(entry.to_owned()).or_default().push(error);
    }
}

/// What the callers share: the members that a balancer would send them to.
#[derive(Debug, Default)]
struct LoadState {
    is_over: AtomicBool,
    members: Mutex<Vec<(String, CallerEndpoint)>>,
    next: AtomicUsize,
    report: Mutex<LoadReport>,
}

/// The running callers.
#[derive(Debug)]
pub struct MemberLoad {
    state: Arc<LoadState>,
    callers: Vec<JoinHandle<()>>,
}

impl MemberLoad {
    /// Sends calls to one more member.
    pub fn add(&self, fleet: &Fleet, entry: &str) {
        let member = (entry.to_owned(), fleet.entry(entry));
        self.state.members.lock().unwrap().push(member);
    }

    /// How many calls were answered.
    pub fn answered(&self) -> usize {
        self.state.report.lock().unwrap().answered
    }

    /// Lets the running calls end; what became of all.
    pub async fn close(self) -> LoadReport {
        self.state.is_over.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.unwrap();
        }
        self.state.report.lock().unwrap().clone()
    }

    /// Sends no more calls to a member.
    pub fn remove(&self, entry: &str) {
        let mut members = self.state.members.lock().unwrap();
        members.retain(|(name, _)| name != entry);
    }

    /// Starts so many callers of all members of a fleet; `make` makes a call from its number.
    pub fn start(
        fleet: &Fleet,
        callers: usize,
        make: impl Fn(&CallerEndpoint, usize) -> HttpCall + Clone + Send + Sync + 'static,
    ) -> Self {
        let mut load = Self {
            state: Arc::default(),
            callers: Vec::new(),
        };
        for entry in fleet.entry_names() {
            load.add(fleet, &entry);
        }
        for _ in 0..callers {
            let caller = call_members(load.state.clone(), make.clone());
            load.callers.push(tokio::spawn(caller));
        }
        load
    }

    /// Waits until so many more calls were answered.
    pub async fn wait_answered(&self, count: usize) {
        let target = self.answered() + count;
        super::wait_until("more calls are answered", async || {
            self.answered() >= target
        })
        .await;
    }
}

async fn call_members(state: Arc<LoadState>, make: impl Fn(&CallerEndpoint, usize) -> HttpCall) {
    while !state.is_over.load(Ordering::SeqCst) {
        let number = state.next.fetch_add(1, Ordering::SeqCst);
        let members = state.members.lock().unwrap().clone();
        let (entry, endpoint) = &members[number % members.len()];
        let result = make(endpoint, number).try_send().await;
        let is_answered = result.is_ok();
        state.report.lock().unwrap().record(entry, result);
        if !is_answered {
            // A balancer looks for another member before it tries again.
            tokio::task::yield_now().await;
        }
    }
}
