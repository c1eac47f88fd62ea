//! Callers that keep calling the members of a fleet while members join and leave.

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

/// The result code of a complete answer.
const ANSWERED: u16 = 1000;
/// The result codes of requests that did not run.
const NOT_RUN: std::ops::Range<u16> = 2000..3000;
/// The text of an error when no connection was made, so that nothing was sent.
const NEVER_CONNECTED: &str = "Error(Connect";

/// Outcomes of the calls.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Calls with a complete answer.
    pub answered: usize,
    /// Errors of all other calls, by entry instance.
    pub lost: BTreeMap<String, Vec<String>>,
    /// Calls refused with a code that says that they did not run.
    pub not_run: usize,
    /// Calls that could not connect to a member.
    pub unconnected: usize,
}

impl LoadReport {
    /// Errors of the lost calls at all instances except one.
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

/// State shared by the callers; `members` stands in for a load balancer's targets.
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
    /// Adds a member to the targets.
    pub fn add(&self, fleet: &Fleet, entry: &str) {
        let member = (entry.to_owned(), fleet.entry(entry));
        self.state.members.lock().unwrap().push(member);
    }

    /// Calls answered so far.
    pub fn answered(&self) -> usize {
        self.state.report.lock().unwrap().answered
    }

    /// Waits for the running calls and returns the outcomes of all calls.
    pub async fn close(self) -> LoadReport {
        self.state.is_over.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.unwrap();
        }
        self.state.report.lock().unwrap().clone()
    }

    /// Removes a member from the targets.
    pub fn remove(&self, entry: &str) {
        let mut members = self.state.members.lock().unwrap();
        members.retain(|(name, _)| name != entry);
    }

    /// Starts concurrent callers that call all members of a fleet; `make` builds a call from its number.
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

    /// Waits until `count` more calls are answered.
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
            // Yields after a failure, as a load balancer picks another member before it retries.
            tokio::task::yield_now().await;
        }
    }
}
