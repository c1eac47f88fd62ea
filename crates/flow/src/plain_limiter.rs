//! Enforces the concurrency limits of plain rows.

use {
    crate::{
        flow_failure::FlowFailure,
        limit_gate::{GateDecision, LimitGate, WaiterId},
        limit_share::ShareView,
    },
    arc_swap::ArcSwap,
    kernel::{LockRank, RankedLock, ResultCode, WorkId},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    table::WorkRow,
    tokio::{sync::oneshot, time},
};

/// The gate with the wake-up channels of the waiting requests.
#[derive(Debug, Default)]
struct LimiterState {
    gate: LimitGate,
    waiters: BTreeMap<WaiterId, oneshot::Sender<()>>,
}

/// The concurrency limits of plain rows on this instance.
#[derive(Debug)]
pub struct PlainLimiter {
    shares: ArcSwap<ShareView>,
    state: RankedLock<LimiterState>,
}

/// A permit to run one request, returned when dropped.
#[derive(Debug)]
pub struct LimitPermit {
    held: Option<(Arc<PlainLimiter>, WorkId)>,
    since: Instant,
}

/// A waiting request, removed from the queue when dropped.
struct QueueEntry {
    is_over: bool,
    limiter: Arc<PlainLimiter>,
    waiter: WaiterId,
    work: WorkId,
}

impl PlainLimiter {
    /// Admits one request of a row. A row without a first-byte target waits for its turn; one with a target is refused
    /// when the limit is reached.
    ///
    /// # Errors
    ///
    /// The final failure for the caller.
    pub async fn enter(self: &Arc<Self>, row: &WorkRow) -> Result<LimitPermit, FlowFailure> {
        let Some(limit) = self.shares.load().limit(row) else {
            return Ok(LimitPermit::unlimited());
        };
        let waits = row.first_token.is_none();
        let (decision, turn) = self.try_enter(&row.work, limit, waits);
        match decision {
            GateDecision::Admitted => Ok(self.permit(&row.work)),
            GateDecision::Queued(waiter) => self.wait(row, waiter, turn).await,
            GateDecision::Refused { retry_after } => Err(FlowFailure {
                code: ResultCode::LimitReached,
                retry_after: Some(retry_after),
            }),
        }
    }

    /// Creates a limiter with these shares.
    pub fn new(shares: ShareView) -> Self {
        Self {
            shares: ArcSwap::from_pointee(shares),
            state: RankedLock::new(LockRank::Services, LimiterState::default()),
        }
    }

    /// Replaces the instances that share limits.
    pub fn put_shares(&self, shares: ShareView) {
        if **self.shares.load() == shares {
            return;
        }
        self.shares.store(Arc::new(shares));
    }

    /// The instances that currently share limits.
    pub fn shares(&self) -> Arc<ShareView> {
        self.shares.load_full()
    }

    /// Updates the limits of the rows. Waiting requests run if their limit grew.
    pub fn put_rows<'a>(&self, rows: impl IntoIterator<Item = &'a WorkRow>) {
        let shares = self.shares.load();
        let mut state = self.state.lock();
        for row in rows {
            let limit = shares.limit(row).unwrap_or(u32::MAX);
            let admitted = state.gate.set_limit(&row.work, limit);
            state.wake(admitted);
        }
    }

    fn try_enter(
        &self,
        work: &WorkId,
        limit: u32,
        waits: bool,
    ) -> (GateDecision, Option<oneshot::Receiver<()>>) {
        let mut state = self.state.lock();
        let decision = state.gate.enter(work, limit, waits);
        let GateDecision::Queued(waiter) = decision else {
            return (decision, None);
        };
        let (sender, receiver) = oneshot::channel();
        state.waiters.insert(waiter, sender);
        (decision, Some(receiver))
    }

    fn leave(&self, work: &WorkId, ran: Duration) {
        let mut state = self.state.lock();
        let admitted = state.gate.leave(work, ran);
        state.wake(admitted);
    }

    fn permit(self: &Arc<Self>, work: &WorkId) -> LimitPermit {
        LimitPermit {
            held: Some((self.clone(), work.clone())),
            since: Instant::now(),
        }
    }

    async fn wait(
        self: &Arc<Self>,
        row: &WorkRow,
        waiter: WaiterId,
        turn: Option<oneshot::Receiver<()>>,
    ) -> Result<LimitPermit, FlowFailure> {
        let mut entry = QueueEntry {
            is_over: false,
            limiter: self.clone(),
            waiter,
            work: row.work.clone(),
        };
        let Some(turn) = turn else {
            return Err(entry.give_up());
        };
        if let Ok(Ok(())) = time::timeout(row.patience, turn).await {
            entry.is_over = true;
            return Ok(self.permit(&row.work));
        }
        Err(entry.give_up())
    }
}

impl LimiterState {
    fn wake(&mut self, admitted: Vec<WaiterId>) {
        for waiter in admitted {
            let Some(turn) = self.waiters.remove(&waiter) else {
                continue;
            };
            // A waiter that gave up meanwhile passes its turn on when its entry is dropped.
            let _ = turn.send(());
        }
    }
}

impl LimitPermit {
    fn unlimited() -> Self {
        Self {
            held: None,
            since: Instant::now(),
        }
    }
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        let Some((limiter, work)) = self.held.take() else {
            return;
        };
        limiter.leave(&work, self.since.elapsed());
    }
}

impl QueueEntry {
    /// Leaves the queue. If the request was admitted meanwhile, its turn passes to the next one.
    fn give_up(&mut self) -> FlowFailure {
        self.is_over = true;
        let mut state = self.limiter.state.lock();
        let was_admitted = state.waiters.remove(&self.waiter).is_none();
        let retry_after = state.gate.give_up(&self.work, self.waiter);
        if was_admitted {
            let admitted = state.gate.leave(&self.work, Duration::ZERO);
            state.wake(admitted);
        }
        FlowFailure {
            code: ResultCode::PatienceEnded,
            retry_after: Some(retry_after),
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        if !self.is_over {
            self.give_up();
        }
    }
}
