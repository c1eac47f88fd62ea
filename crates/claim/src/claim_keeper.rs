//! Drives keyed claims against the platform's table service.

use {
    crate::{
        claim_key::{CLAIM_PREFIX, EPOCH_KEY},
        claim_sweep::due_removals,
        claim_watch::{ClaimWatch, ClockReading},
        keyed_claim::{ClaimAction, ClaimEvent, KeyedClaim},
        ticket::Ticket,
    },
    kernel::{LockRank, RankedLock, ResultCode},
    plat::{PlatError, RowStore},
    std::{
        sync::Arc,
        time::{Instant, SystemTime},
    },
};

/// The maximum number of rows watched for expiry, separately for requests and for the sweep.
const WATCH_LIMIT: usize = 4096;

/// How to handle a submission with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// Forward it to the origin of this ticket.
    Forward(Ticket),
    /// Refuse it as not run.
    Refuse(ResultCode),
    /// Run it under the claim's own permit.
    Run,
}

/// Resolves keyed claims against the platform.
#[derive(Debug)]
pub struct ClaimKeeper<S> {
    store: Arc<S>,
    sweep_watch: RankedLock<ClaimWatch>,
    watch: RankedLock<ClaimWatch>,
}

impl<S: RowStore> ClaimKeeper<S> {
    /// A keeper of claims in `store`.
    pub fn new(store: Arc<S>) -> Self {
        let watch = || RankedLock::new(LockRank::Claims, ClaimWatch::new(WATCH_LIMIT));
        Self {
            store,
            sweep_watch: watch(),
            watch: watch(),
        }
    }

    /// Resolves a claim, from [`ClaimEvent::Start`], or from [`ClaimEvent::OriginRefused`] after a forward that
    /// was refused as not run. It returns after a bounded number of calls to the platform.
    pub async fn settle(&self, claim: &mut KeyedClaim, first: ClaimEvent) -> ClaimVerdict {
        let mut event = first;
        loop {
            event = match self.step(claim, event) {
                ClaimAction::Commit(transaction) => {
                    let reply = self.store.commit(&transaction).await;
                    reply.map_or(ClaimEvent::NoAnswer, ClaimEvent::Reply)
                }
                ClaimAction::Forward(ticket) => return ClaimVerdict::Forward(ticket),
                ClaimAction::Get(key) => {
                    let row = self.store.get(&key).await;
                    row.map_or(ClaimEvent::NoAnswer, ClaimEvent::Read)
                }
                ClaimAction::Refuse(code) => return ClaimVerdict::Refuse(code),
                ClaimAction::Run => return ClaimVerdict::Run,
            };
        }
    }

    /// Removes expired claims; returns whether any were due. Only the instance that
    /// [`is_sweeper`](crate::claim_sweep::is_sweeper) names does this, at a long interval.
    ///
    /// # Errors
    ///
    /// The platform's error when a call gets no answer. The next sweep continues the work.
    pub async fn sweep(&self) -> Result<bool, PlatError> {
        let epoch = self.store.get(EPOCH_KEY).await?;
        let epoch = epoch.map_or(0, |row| row.version);
        let rows = self.store.scan(CLAIM_PREFIX).await?;
        let removals = due_removals(clock(), &mut self.sweep_watch.lock(), epoch, &rows);
        let Some(removals) = removals else {
            return Ok(false);
        };
        self.store.commit(&removals).await?;
        Ok(true)
    }

    fn step(&self, claim: &mut KeyedClaim, event: ClaimEvent) -> ClaimAction {
        claim.on_event(clock(), &mut self.watch.lock(), event)
    }
}

fn clock() -> ClockReading {
    ClockReading {
        now: Instant::now(),
        wall: SystemTime::now(),
    }
}
