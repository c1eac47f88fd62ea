//! A platform client with rate-limited calls.

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

/// The maximum time that a call may wait for the budget. After that it fails without having been sent.
pub const DEFER_TIMEOUT: Duration = Duration::from_secs(1);

/// A platform client whose calls are deferred while they exceed the budget. Clones share the budget.
#[derive(Clone, Debug)]
pub struct BudgetPlatform<P> {
    budget: Arc<RankedLock<CallBudget>>,
    counts: Arc<DeferCounts>,
    platform: P,
}

/// Counts of deferred calls since the start.
#[derive(Debug, Default)]
pub struct DeferCounts {
    reads: AtomicU64,
    writes: AtomicU64,
}

impl DeferCounts {
    /// The number of calls of a kind that were deferred, including those that then failed.
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
    /// The counts of deferred calls.
    pub fn counts(&self) -> Arc<DeferCounts> {
        self.counts.clone()
    }

    /// A client with full token buckets of these rates.
    pub fn new(platform: P, reads: CallRate, writes: CallRate) -> Self {
        let budget = CallBudget::new(Instant::now(), reads, writes);
        Self {
            budget: Arc::new(RankedLock::new(LockRank::Samples, budget)),
            counts: Arc::default(),
            platform,
        }
    }

    /// Waits until the budget allows the call.
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
