//! The platform's table service: rows by key, with reads by key or prefix and conditional transactions.

use {
    crate::{instance_record::InstanceRecord, plat_error::PlatError},
    serde::{Deserialize, Serialize},
    std::{
        future::Future,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// A stored row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredRow {
    /// Its key, such as `work/confirm`.
    pub key: Arc<str>,
    /// Its content.
    pub value: Arc<str>,
    /// Counts its writes from 1; it starts again at 1 when a row is written after its removal.
    pub version: u64,
}

/// A condition of a transaction: the row's current version, 0 for a row that does not exist.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: Arc<str>,
    /// The required version.
    pub version: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: Arc<str>,
    /// The new content; `None` removes the row.
    pub value: Option<Arc<str>>,
}

/// Writes that take effect atomically, under conditions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// The transaction commits only if all of these hold.
    pub conditions: Vec<RowCondition>,
    /// The writes to apply.
    pub writes: Vec<RowWrite>,
}

impl Transaction {
    /// Removes a row, on condition that it is unchanged since it was read.
    pub fn remove(&mut self, row: &StoredRow) {
        self.change(row.key.clone(), row.version, None);
    }

    /// Writes a row, on condition that it has this version; 0 for a row that does not exist.
    pub fn write(&mut self, key: Arc<str>, version: u64, value: Arc<str>) {
        self.change(key, version, Some(value));
    }

    fn change(&mut self, key: Arc<str>, version: u64, value: Option<Arc<str>>) {
        self.conditions.push(RowCondition {
            key: key.clone(),
            version,
        });
        self.writes.push(RowWrite { key, value });
    }
}

/// The reply to a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum TransactionReply {
    /// All writes were applied.
    Committed,
    /// A condition did not hold, so nothing was written.
    Conflict {
        /// The current rows named in the conditions, without those that do not exist.
        rows: Vec<StoredRow>,
    },
}

/// The transactional table service. After [`PlatError::Unreachable`] a write may have taken effect.
pub trait RowStore: Send + Sync {
    /// The epoch of the rows, which rises when the service comes back from an older copy, so that versions and contents go
    /// back. `None` before the first answer, and for a service that never does.
    fn epoch(&self) -> Option<u64> {
        None
    }
    /// The service's own steady clock at a local time; `None` before the first answer, and for a service without one.
    fn clock(&self, at: Instant) -> Option<Duration> {
        let _ = at;
        None
    }
    /// Commits a transaction.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionReply, PlatError>> + Send;
    /// Reads one row; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoredRow>, PlatError>> + Send;
    /// Reads all rows whose key starts with `prefix`, in key order; those that the service returns with one answer, as
    /// several hundred small ones, are from one moment.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<StoredRow>, PlatError>> + Send;
}

/// The list of live and leaving instances; it may be stale.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    fn instances(&self) -> impl Future<Output = Result<Vec<InstanceRecord>, PlatError>> + Send;
}
