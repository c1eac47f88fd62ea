//! A platform in memory that loses replies and requests on order.

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
pub(crate) type Intruder = Pin<Box<dyn Future<Output = ()> + Send>>;

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    LoseReply,
    LoseRequest,
    None,
    Refuse,
}

#[derive(Default)]
pub(crate) struct Inside {
    pub(crate) calls: u32,
    /// What happens to the next commits, in turn.
    pub(crate) commits: VecDeque<Fault>,
    /// Runs to its end before the next commit.
    pub(crate) intruder: Option<Intruder>,
    pub(crate) is_down: bool,
    pub(crate) is_down_after_commit: bool,
    pub(crate) rows: Rows,
}

#[derive(Clone, Default)]
pub(crate) struct MemoryStore {
    pub(crate) inside: Arc<Mutex<Inside>>,
}

impl MemoryStore {
    pub(crate) fn come_back(&self) {
        let mut inside = self.inside();
        inside.is_down = false;
        inside.is_down_after_commit = false;
    }

    pub(crate) fn inside(&self) -> std::sync::MutexGuard<'_, Inside> {
        self.inside.lock().unwrap()
    }

    pub(crate) fn lose(&self, faults: &[Fault]) {
        self.inside().commits = faults.iter().copied().collect();
    }

    pub(crate) fn repository(&self) -> TableRepository<Self> {
        TableRepository::new(self.clone()).with_retry_delay(Duration::ZERO)
    }

    async fn call(&self) -> Result<(), PlatError> {
        // Lets others go first, as a network does.
        tokio::task::yield_now().await;
        let mut inside = self.inside();
        inside.calls += 1;
        match inside.is_down {
            true => Err(lost()),
            false => Ok(()),
        }
    }
}

impl RowStore for MemoryStore {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionReply, PlatError> {
        let intruder = self.inside().intruder.take();
        if let Some(intruder) = intruder {
            intruder.await;
        }
        self.call().await?;
        let mut inside = self.inside();
        let fault = inside.commits.pop_front().unwrap_or(Fault::None);
        if inside.is_down_after_commit {
            inside.is_down = true;
        }
        match fault {
            Fault::LoseRequest => return Err(lost()),
            Fault::Refuse => return Err(PlatError::Refused { status: 400 }),
            _ => {}
        }
        let reply = apply(&mut inside.rows, transaction);
        match fault {
            Fault::LoseReply => Err(lost()),
            _ => Ok(reply),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<StoredRow>, PlatError> {
        self.call().await?;
        Ok(self.inside().rows.get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatError> {
        self.call().await?;
        let inside = self.inside();
        let rows = inside.rows.values();
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
