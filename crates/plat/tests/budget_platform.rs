//! The call budget of a platform client.

use {
    plat::{
        BudgetPlatform, CallKind, CallRate, InstanceList, InstanceRecord, PlatError, RowStore,
        StoredRow, Transaction, TransactionReply,
    },
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

const BURST: u64 = 5;
const NO_REFILL: CallRate = CallRate {
    burst: BURST as f64,
    per_second: 0.0,
};
const FAST_REFILL: CallRate = CallRate {
    burst: BURST as f64,
    per_second: 1000.0,
};

/// Counts the calls that reach the platform.
#[derive(Clone, Default)]
struct CountedCalls(Arc<AtomicU64>);

impl CountedCalls {
    fn count(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }

    fn increment(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl InstanceList for CountedCalls {
    async fn instances(&self) -> Result<Vec<InstanceRecord>, PlatError> {
        self.increment();
        Ok(Vec::new())
    }
}

impl RowStore for CountedCalls {
    async fn commit(&self, _: &Transaction) -> Result<TransactionReply, PlatError> {
        self.increment();
        Ok(TransactionReply::Committed)
    }

    async fn get(&self, _: &str) -> Result<Option<StoredRow>, PlatError> {
        self.increment();
        Ok(None)
    }

    async fn scan(&self, _: &str) -> Result<Vec<StoredRow>, PlatError> {
        self.increment();
        Ok(Vec::new())
    }
}

#[tokio::test]
async fn calls_over_the_budget_are_refused_without_being_sent() {
    let calls = CountedCalls::default();
    let platform = BudgetPlatform::new(calls.clone(), FAST_REFILL, NO_REFILL);
    for _ in 0..BURST {
        platform.commit(&Transaction::default()).await.unwrap();
    }
    let error = platform.commit(&Transaction::default()).await.unwrap_err();
    assert!(matches!(error, PlatError::OverBudget { .. }), "{error}");
    assert!(!error.is_outcome_unknown());
    assert_eq!(calls.count(), BURST);
    assert_eq!(platform.counts().get(CallKind::Write), 1);
}

#[tokio::test]
async fn reads_of_all_kinds_share_a_budget_and_wait_for_their_turn() {
    let calls = CountedCalls::default();
    let platform = BudgetPlatform::new(calls.clone(), FAST_REFILL, NO_REFILL);
    for _ in 0..BURST {
        platform.get("head").await.unwrap();
        platform.scan("work/").await.unwrap();
        platform.instances().await.unwrap();
    }
    assert_eq!(calls.count(), 3 * BURST);
    assert!(platform.counts().get(CallKind::Read) > 0);
    assert_eq!(platform.counts().get(CallKind::Write), 0);
}
