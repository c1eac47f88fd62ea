//! Who may run and who waits, row by row. Pure.

use {
    kernel::WorkId,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// A waiting request.
pub type WaiterId = u64;

/// How much of an older mean a new sample leaves: one part in this many is the sample's.
const MEAN_WINDOW: u32 = 8;
/// The mean before any sample.
const INITIAL_MEAN: Duration = Duration::from_millis(100);
/// The least and the most that a refused caller is told to wait.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// What becomes of a request that wants to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// It runs.
    Admitted,
    /// It waits for its turn.
    Queued(WaiterId),
    /// It does not run.
    Refused {
        /// When to come back, from the queue's length.
        retry_after: Duration,
    },
}

/// One row's requests.
#[derive(Clone, Debug)]
struct RowGate {
    limit: u32,
    mean: Duration,
    queue: VecDeque<WaiterId>,
    running: u32,
}

/// The rows of one entry instance.
#[derive(Clone, Debug, Default)]
pub struct LimitGate {
    next: WaiterId,
    rows: BTreeMap<WorkId, RowGate>,
}

impl LimitGate {
    /// A request of a row wants to run. `limit` is this instance's part; `waits` tells whether it may queue.
    pub fn enter(&mut self, work: &WorkId, limit: u32, waits: bool) -> GateDecision {
        let row = self.rows.entry(work.clone()).or_insert_with(RowGate::new);
        row.limit = limit;
        if row.running < limit && row.queue.is_empty() {
            row.running += 1;
            return GateDecision::Admitted;
        }
        if !waits || limit == 0 {
            let retry_after = row.retry_after();
            return GateDecision::Refused { retry_after };
        }
        self.next += 1;
        row.queue.push_back(self.next);
        GateDecision::Queued(self.next)
    }

    /// A waiting request gave up. When to come back.
    pub fn give_up(&mut self, work: &WorkId, waiter: WaiterId) -> Duration {
        let Some(row) = self.rows.get_mut(work) else {
            return RETRY_BOUNDS.0;
        };
        row.queue.retain(|other| *other != waiter);
        row.retry_after()
    }

    /// A running request ended after so long. Those whose turn it is now run.
    pub fn leave(&mut self, work: &WorkId, ran: Duration) -> Vec<WaiterId> {
        let Some(row) = self.rows.get_mut(work) else {
            return Vec::new();
        };
        row.running = row.running.saturating_sub(1);
        row.mean = (row.mean * (MEAN_WINDOW - 1) + ran) / MEAN_WINDOW;
        row.admit_waiting()
    }

    /// How many requests of a row run and wait.
    pub fn counts(&self, work: &WorkId) -> (u32, usize) {
        let row = self.rows.get(work);
        row.map_or((0, 0), |row| (row.running, row.queue.len()))
    }

    /// The part of the limit changed. Those whose turn it is now run.
    pub fn set_limit(&mut self, work: &WorkId, limit: u32) -> Vec<WaiterId> {
        let Some(row) = self.rows.get_mut(work) else {
            return Vec::new();
        };
        row.limit = limit;
        row.admit_waiting()
    }
}

impl RowGate {
    fn new() -> Self {
        Self {
            limit: 0,
            mean: INITIAL_MEAN,
            queue: VecDeque::new(),
            running: 0,
        }
    }

    /// The time until a place is free for one more than those that wait.
    fn retry_after(&self) -> Duration {
        let ahead = u32::try_from(self.queue.len())
            .unwrap_or(u32::MAX)
            .saturating_add(1);
        let wait = self.mean.saturating_mul(ahead) / self.limit.max(1);
        wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1)
    }

    fn admit_waiting(&mut self) -> Vec<WaiterId> {
        let mut admitted = Vec::new();
        while self.running < self.limit {
            let Some(waiter) = self.queue.pop_front() else {
                break;
            };
            self.running += 1;
            admitted.push(waiter);
        }
        admitted
    }
}
