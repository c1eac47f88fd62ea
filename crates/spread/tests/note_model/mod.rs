//! A store that keeps rows in memory, counts the writes of each and has a clock.

#![allow(dead_code, reason = "each test file uses its part")]

use {
    kernel::WorkerPool,
    plat::{PlatError, RowStore, StoredRow, Transaction, TransactionReply},
    policy::{SoftwareNote, StreamKey},
    relay::RelayCounts,
    spread::NoteStore,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The clock of the store at first, just after the beginning of a slot of the log.
const FIRST_CLOCK: Duration = Duration::from_millis(1_000_010);
/// How long a caller may come back.
const PATIENCE: Duration = Duration::from_secs(30);
/// Notes are in the store by then: they are collected for 150 ms.
const WRITTEN_BY: Duration = Duration::from_millis(400);

/// The rows. Commits may be late, and replies to them lost.
#[derive(Debug)]
pub(crate) struct MemoryRows {
    began: Instant,
    has_clock: AtomicBool,
    is_late: AtomicBool,
    late: Mutex<Option<Transaction>>,
    loses_reply: AtomicBool,
    rows: Mutex<BTreeMap<Arc<str>, StoredRow>>,
}

impl MemoryRows {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            has_clock: AtomicBool::new(true),
            is_late: AtomicBool::new(false),
            late: Mutex::default(),
            loses_reply: AtomicBool::new(false),
            rows: Mutex::default(),
        })
    }

    /// Sets whether the clock of the store is known.
    pub(crate) fn set_clock(&self, is_known: bool) {
        self.has_clock.store(is_known, Ordering::SeqCst);
    }

    /// Leaves the next commit without an answer until [`Self::apply_late`].
    pub(crate) fn hold_commit(&self) {
        self.is_late.store(true, Ordering::SeqCst);
    }

    /// Carries out the commit that was held.
    pub(crate) fn apply_late(&self) {
        let transaction = self.late.lock().unwrap().take().unwrap();
        self.apply(&transaction);
    }

    /// Has the next commit take effect without an answer.
    pub(crate) fn lose_reply(&self) {
        self.loses_reply.store(true, Ordering::SeqCst);
    }

    /// The bytes of all rows.
    pub(crate) fn size(&self) -> usize {
        let rows = self.rows.lock().unwrap();
        rows.values().map(|row| row.value.len()).sum()
    }

    fn apply(&self, transaction: &Transaction) -> TransactionReply {
        let mut rows = self.rows.lock().unwrap();
        let named = transaction.conditions.iter();
        let version = |key: &Arc<str>| rows.get(key).map_or(0, |row| row.version);
        if named
            .clone()
            .any(|condition| version(&condition.key) != condition.version)
        {
            let current = named.filter_map(|condition| rows.get(&condition.key).cloned());
            return TransactionReply::Conflict {
                rows: current.collect(),
            };
        }
        for write in &transaction.writes {
            let version = rows.get(&write.key).map_or(0, |row| row.version) + 1;
            match &write.value {
                Some(value) => rows.insert(
                    write.key.clone(),
                    StoredRow {
                        key: write.key.clone(),
                        value: value.clone(),
                        version,
                    },
                ),
                None => rows.remove(&write.key),
            };
        }
        TransactionReply::Committed
    }
}

impl RowStore for MemoryRows {
    fn clock(&self, at: Instant) -> Option<Duration> {
        let is_known = self.has_clock.load(Ordering::SeqCst);
        is_known.then(|| FIRST_CLOCK + at.saturating_duration_since(self.began))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<TransactionReply, PlatError> {
        let lost = || PlatError::Unreachable {
            detail: "lost".to_owned(),
        };
        if self.is_late.swap(false, Ordering::SeqCst) {
            *self.late.lock().unwrap() = Some(transaction.clone());
            return Err(lost());
        }
        let reply = self.apply(transaction);
        match self.loses_reply.swap(false, Ordering::SeqCst) {
            true => Err(lost()),
            false => Ok(reply),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<StoredRow>, PlatError> {
        Ok(self.rows.lock().unwrap().get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatError> {
        let rows = self.rows.lock().unwrap();
        let found = rows.values().filter(|row| row.key.starts_with(prefix));
        Ok(found.cloned().collect())
    }
}

pub(crate) fn note(stream: StreamKey) -> SoftwareNote {
    SoftwareNote {
        life: PATIENCE,
        software: format!("v{stream}").into(),
        stream,
    }
}

/// The log of one instance.
pub(crate) fn open(rows: &Arc<MemoryRows>, pool: &WorkerPool) -> NoteStore {
    NoteStore::open(rows.clone(), "gijon".into(), RelayCounts::new(), pool)
}

/// Has notes written, and waits until they are.
pub(crate) async fn write(store: &NoteStore, streams: &[StreamKey]) {
    let notes = streams.iter().map(|stream| note(*stream));
    assert!(store.write(notes.collect()));
    time::sleep(WRITTEN_BY).await;
}
