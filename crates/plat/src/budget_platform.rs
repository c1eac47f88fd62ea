//! A platform's client whose calls keep to a budget.

use {
    crate::{
        call_budget::{CallBudget, CallKind, CallRate},
        instance_record::InstanceRecord,
        object_store::ObjectStore,
        plat_error::PlatError,
        row_store::{InstanceList, RowStore, StoredRow, Transaction, TransactionReply},
    },
    bytes::Bytes,
    kernel::{LockRank, RankedLock},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time,
};

/// How long a call may wait for its turn; after it the call is refused without having been sent.
pub const DEFER_TIMEOUT: Duration = Duration::from_secs(1);

/// A client whose calls wait while they are over the budget. Clones share the budget.
#[derive(Clone, Debug)]
pub struct BudgetPlatform<P> {
    budget: Arc<RankedLock<CallBudget>>,
    counts: Arc<DeferCounts>,
    platform: P,
}

/// Calls that had to wait, since the start.
#[derive(Debug, Default)]
pub struct DeferCounts {
    reads: AtomicU64,
    writes: AtomicU64,
}

impl DeferCounts {
    /// How many calls of a kind had to wait or were refused for it.
    pub fn get(&self, kind: CallKind) -> u64 {
        self.count(kind).load(Ordering::Relaxed)
    }

    fn count(&self, kind: CallKind) -> &AtomicU64 {
        match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
        }
    }
}

impl<P> BudgetPlatform<P> {
    /// The calls that had to wait.
    pub fn counts(&self) -> Arc<DeferCounts> {
        self.counts.clone()
    }

    /// A client with full buckets of these rates.
    pub fn new(platform: P, reads: CallRate, writes: CallRate) -> Self {
        let budget = CallBudget::new(Instant::now(), reads, writes);
        Self {
            budget: Arc::new(RankedLock::new(LockRank::Samples, budget)),
            counts: Arc::default(),
            platform,
        }
    }

    /// Waits for the call's turn.
    async fn admit(&self, kind: CallKind) -> Result<(), PlatError> {
        let end = Instant::now() + DEFER_TIMEOUT;
        let mut is_counted = false;
        loop {
            let now = Instant::now();
            let taken = self.budget.lock().take(now, kind);
            let Err(wait) = taken else {
                return Ok(());
            };
            if !is_counted {
                self.counts.count(kind).fetch_add(1, Ordering::Relaxed);
                is_counted = true;
            }
            if wait > end.saturating_duration_since(now) {
                return Err(PlatError::OverBudget { kind });
            }
            time::sleep(wait).await;
        }
    }
}

impl<P: InstanceList> InstanceList for BudgetPlatform<P> {
    async fn instances(&self) -> Result<Vec<InstanceRecord>, PlatError> {
        self.admit(CallKind::Read).await?;
        self.platform.instances().await
    }
}

impl<P: ObjectStore + Send + Sync> ObjectStore for BudgetPlatform<P> {
    async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatError> {
        self.admit(CallKind::Read).await?;
        self.platform.get_object(key).await
    }

    async fn put_object(&self, key: &str, content: Bytes) -> Result<(), PlatError> {
        self.admit(CallKind::Write).await?;
        self.platform.put_object(key, content).await
    }
}

impl<P: RowStore> RowStore for BudgetPlatform<P> {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionReply, PlatError> {
        self.admit(CallKind::Write).await?;
        self.platform.commit(transaction).await
    }

    async fn get(&self, key: &str) -> Result<Option<StoredRow>, PlatError> {
        self.admit(CallKind::Read).await?;
        self.platform.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatError> {
        self.admit(CallKind::Read).await?;
        self.platform.scan(prefix).await
    }
}
