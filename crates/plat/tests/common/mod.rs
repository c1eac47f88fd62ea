//! An in-memory platform with injected faults.

#![allow(dead_code, reason = "each test file uses its part")]

use {
    plat::{
        EditOrigin, PlatError, RowStore, StoredRow, TableRepository, Transaction, TransactionReply,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        future::Future,
        pin::Pin,
        sync::{Arc, Mutex},
        time::Duration,
    },
    table::WorkRow,
};

pub(crate) type Rows = BTreeMap<Arc<str>, StoredRow>;
pub(crate) type ConcurrentEdit = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The fault that is injected into one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    LoseReply,
    LoseRequest,
    None,
    Refuse,
}

#[derive(Default)]
pub(crate) struct StoreState {
    pub(crate) calls: u32,
    /// The faults of the next commits, in order.
    pub(crate) commits: VecDeque<Fault>,
    /// Runs to completion before the next commit.
    pub(crate) concurrent_edit: Option<ConcurrentEdit>,
    pub(crate) is_down: bool,
    pub(crate) is_down_after_commit: bool,
    pub(crate) rows: Rows,
}

#[derive(Clone, Default)]
pub(crate) struct MemoryStore {
    pub(crate) state: Arc<Mutex<StoreState>>,
}

impl MemoryStore {
    pub(crate) fn restore_service(&self) {
        let mut state = self.state();
        state.is_down = false;
        state.is_down_after_commit = false;
    }

    pub(crate) fn state(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().unwrap()
    }

    pub(crate) fn inject(&self, faults: &[Fault]) {
        self.state().commits = faults.iter().copied().collect();
    }

    pub(crate) fn repository(&self) -> TableRepository<Self> {
        TableRepository::new(self.clone()).with_retry_delay(Duration::ZERO)
    }

    async fn call(&self) -> Result<(), PlatError> {
        // Other tasks may run first, as with a network call.
        tokio::task::yield_now().await;
        let mut state = self.state();
        state.calls += 1;
        match state.is_down {
            true => Err(lost()),
            false => Ok(()),
        }
    }
}

impl RowStore for MemoryStore {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionReply, PlatError> {
        let concurrent_edit = self.state().concurrent_edit.take();
        if let Some(concurrent_edit) = concurrent_edit {
            concurrent_edit.await;
        }
        self.call().await?;
        let mut state = self.state();
        let fault = state.commits.pop_front().unwrap_or(Fault::None);
        if state.is_down_after_commit {
            state.is_down = true;
        }
        match fault {
            Fault::LoseRequest => return Err(lost()),
            Fault::Refuse => return Err(PlatError::Refused { status: 400 }),
            _ => {}
        }
        let reply = apply(&mut state.rows, transaction);
        match fault {
            Fault::LoseReply => Err(lost()),
            _ => Ok(reply),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<StoredRow>, PlatError> {
        self.call().await?;
        Ok(self.state().rows.get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatError> {
        self.call().await?;
        let state = self.state();
        let rows = state.rows.values();
        Ok(rows
            .filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect())
    }
}

pub(crate) fn lost() -> PlatError {
    PlatError::Unreachable {
        detail: "lost".to_owned(),
    }
}

pub(crate) fn origin(id: &str, at: u64) -> EditOrigin {
    EditOrigin {
        at: Duration::from_millis(at),
        author: "operator".into(),
        floor: 0,
        id: id.into(),
    }
}

pub(crate) fn row(work: &str, weight: u8) -> WorkRow {
    WorkRow {
        between_tokens: None,
        first_token: None,
        limit: None,
        model: None,
        patience: Duration::from_secs(60),
        rank: 1,
        repeat: false,
        retries: 1,
        service: "redactor".into(),
        waste: 0.0,
        weight: f64::from(weight),
        work: work.into(),
        zones: Vec::new(),
    }
}

fn apply(rows: &mut Rows, transaction: &Transaction) -> TransactionReply {
    let version_of = |key: &str| rows.get(key).map_or(0, |row| row.version);
    let holds = |condition: &plat::RowCondition| version_of(&condition.key) == condition.version;
    if !transaction.conditions.iter().all(holds) {
        let named = transaction.conditions.iter();
        return TransactionReply::Conflict {
            rows: named.filter_map(|it| rows.get(&it.key).cloned()).collect(),
        };
    }
    for write in &transaction.writes {
        let Some(value) = write.value.clone() else {
            rows.remove(&write.key);
            continue;
        };
        let version = rows.get(&write.key).map_or(0, |row| row.version) + 1;
        let row = StoredRow {
            key: write.key.clone(),
            value,
            version,
        };
        rows.insert(write.key.clone(), row);
    }
    TransactionReply::Committed
}
