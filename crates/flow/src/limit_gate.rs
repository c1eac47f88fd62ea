//! Concurrency limits and waiting queues per row. Does no I/O.

use {
    kernel::WorkId,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Identifies a waiting request.
pub type WaiterId = u64;

/// The window of the moving average: a new sample has a weight of one in this many.
const MEAN_WINDOW: u32 = 8;
/// The assumed run time before the first sample.
const INITIAL_MEAN: Duration = Duration::from_millis(100);
/// The bounds of the retry delay of a refused request.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// The decision on a request that wants to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The request may run.
    Admitted,
    /// The request waits in the queue.
    Queued(WaiterId),
    /// The request is refused.
    Refused {
        /// The retry delay, estimated from the queue length.
        retry_after: Duration,
    },
}

/// The limit, queue and running requests of one row.
#[derive(Clone, Debug)]
struct RowGate {
    limit: u32,
    mean: Duration,
    queue: VecDeque<WaiterId>,
    running: u32,
}

/// The concurrency limits of all rows on one entry instance.
#[derive(Clone, Debug, Default)]
pub struct LimitGate {
    next: WaiterId,
    rows: BTreeMap<WorkId, RowGate>,
}

impl LimitGate {
    /// Asks to run a request of a row. `limit` is this instance's part of the limit, and `waits` is whether the request
    /// may queue.
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

    /// Removes a waiting request and returns the retry delay for its caller.
    pub fn give_up(&mut self, work: &WorkId, waiter: WaiterId) -> Duration {
        let Some(row) = self.rows.get_mut(work) else {
            return RETRY_BOUNDS.0;
        };
        row.queue.retain(|other| *other != waiter);
        row.retry_after()
    }

    /// Ends a request that ran for the given time, and returns the waiting requests that may run now.
    pub fn leave(&mut self, work: &WorkId, ran: Duration) -> Vec<WaiterId> {
        let Some(row) = self.rows.get_mut(work) else {
            return Vec::new();
        };
        row.running = row.running.saturating_sub(1);
        row.mean = (row.mean * (MEAN_WINDOW - 1) + ran) / MEAN_WINDOW;
        row.admit_waiting()
    }

    /// The numbers of running and waiting requests of a row.
    pub fn counts(&self, work: &WorkId) -> (u32, usize) {
        let row = self.rows.get(work);
        row.map_or((0, 0), |row| (row.running, row.queue.len()))
    }

    /// Changes this instance's part of the limit, and returns the waiting requests that may run now.
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

    /// The expected time until a further request behind the queue could run.
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
