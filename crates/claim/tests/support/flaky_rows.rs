//! An in-memory platform whose calls and replies can be lost.

use {
    plat::{PlatError, RowStore, StoredRow, Transaction, TransactionReply},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Mutex,
    },
};

/// The fault that is injected into one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallFault {
    LostCall,
    LostReply,
    None,
}

/// The rows by key, and the faults of the next calls.
#[derive(Debug, Default)]
pub(crate) struct FlakyRows {
    pub(crate) faults: Mutex<VecDeque<CallFault>>,
    pub(crate) rows: Mutex<BTreeMap<String, StoredRow>>,
}

impl FlakyRows {
    pub(crate) fn with(faults: &[CallFault]) -> Self {
        Self {
            faults: Mutex::new(faults.iter().copied().collect()),
            rows: Mutex::default(),
        }
    }

    pub(crate) fn apply(&self, transaction: &Transaction) -> TransactionReply {
        let mut rows = self.rows.lock().unwrap();
        let version = |key: &str| rows.get(key).map_or(0, |row| row.version);
        let named = &transaction.conditions;
        if named.iter().any(|one| version(&one.key) != one.version) {
            let rows = named.iter().filter_map(|one| rows.get(&*one.key).cloned());
            return TransactionReply::Conflict {
                rows: rows.collect(),
            };
        }
        for write in &transaction.writes {
            let Some(value) = write.value.clone() else {
                rows.remove(&*write.key);
                continue;
            };
            let version = rows.get(&*write.key).map_or(0, |row| row.version) + 1;
            let key = write.key.clone();
            rows.insert(
                key.to_string(),
                StoredRow {
                    key,
                    value,
                    version,
                },
            );
        }
        TransactionReply::Committed
    }

    fn call<T>(&self, work: impl FnOnce(&Self) -> T) -> Result<T, PlatError> {
        let fault = self.faults.lock().unwrap().pop_front();
        self.call_with(fault.unwrap_or(CallFault::None), work)
    }

    pub(crate) fn call_with<T>(
        &self,
        fault: CallFault,
        work: impl FnOnce(&Self) -> T,
    ) -> Result<T, PlatError> {
        let lost = || PlatError::Unreachable {
            detail: "test".to_owned(),
        };
        match fault {
            CallFault::LostCall => Err(lost()),
            CallFault::LostReply => {
                work(self);
                Err(lost())
            }
            CallFault::None => Ok(work(self)),
        }
    }

    pub(crate) fn row(&self, key: &str) -> Option<StoredRow> {
        self.rows.lock().unwrap().get(key).cloned()
    }

    pub(crate) fn rows_under(&self, prefix: &str) -> Vec<StoredRow> {
        let rows = self.rows.lock().unwrap();
        let rows = rows.values().filter(|row| row.key.starts_with(prefix));
        rows.cloned().collect()
    }
}

impl RowStore for FlakyRows {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionReply, PlatError> {
        self.call(|rows| rows.apply(transaction))
    }

    async fn get(&self, key: &str) -> Result<Option<StoredRow>, PlatError> {
        self.call(|rows| rows.row(key))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatError> {
        self.call(|rows| rows.rows_under(prefix))
    }
}
