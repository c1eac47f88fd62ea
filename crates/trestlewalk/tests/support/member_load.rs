//! Callers that go on calling the members of a fleet while those come and go.

use {
    super::{CallReply, Fleet, HttpCall, fleet::CallerSide},
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
    pub fn lost_beside(&self, entry: &str) -> Vec<&String> {
        let others = self.lost.iter().filter(|(name, _)| *name != entry);
        others.flat_map(|(_, errors)| errors).collect()
    }

    fn note(&mut self, entry: &str, result: Result<CallReply, String>) {
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
struct LoadBoard {
    is_over: AtomicBool,
    members: Mutex<Vec<(String, CallerSide)>>,
    next: AtomicUsize,
    report: Mutex<LoadReport>,
}

/// The running callers.
#[derive(Debug)]
pub struct MemberLoad {
    board: Arc<LoadBoard>,
    callers: Vec<JoinHandle<()>>,
}

impl MemberLoad {
    /// Sends calls to one more member.
    pub fn add(&self, fleet: &Fleet, entry: &str) {
        let member = (entry.to_owned(), fleet.entry(entry));
        self.board.members.lock().unwrap().push(member);
    }

    /// How many calls were answered.
    pub fn answered(&self) -> usize {
        self.board.report.lock().unwrap().answered
    }

    /// Lets the running calls end; what became of all.
    pub async fn close(self) -> LoadReport {
        self.board.is_over.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.unwrap();
        }
        self.board.report.lock().unwrap().clone()
    }

    /// Sends no more calls to a member.
    pub fn remove(&self, entry: &str) {
        let mut members = self.board.members.lock().unwrap();
        members.retain(|(name, _)| name != entry);
    }

    /// Starts so many callers of all members of a fleet; `make` makes a call from its number.
    pub fn start(
        fleet: &Fleet,
        callers: usize,
        make: impl Fn(&CallerSide, usize) -> HttpCall + Clone + Send + Sync + 'static,
    ) -> Self {
        let mut load = Self {
            board: Arc::default(),
            callers: Vec::new(),
        };
        for entry in fleet.entry_names() {
            load.add(fleet, &entry);
        }
        for _ in 0..callers {
            let caller = call_on(load.board.clone(), make.clone());
            load.callers.push(tokio::spawn(caller));
        }
        load
    }

    /// Waits until so many more calls were answered.
    pub async fn wait_more(&self, count: usize) {
        let target = self.answered() + count;
        super::wait_until("more calls are answered", async || {
            self.answered() >= target
        })
        .await;
    }
}

async fn call_on(board: Arc<LoadBoard>, make: impl Fn(&CallerSide, usize) -> HttpCall) {
    while !board.is_over.load(Ordering::SeqCst) {
        let number = board.next.fetch_add(1, Ordering::SeqCst);
        let members = board.members.lock().unwrap().clone();
        let (entry, side) = &members[number % members.len()];
        let result = make(side, number).try_send().await;
        let is_answered = result.is_ok();
        board.report.lock().unwrap().note(entry, result);
        if !is_answered {
            // A balancer looks for another member before it tries again.
            tokio::task::yield_now().await;
        }
    }
}
