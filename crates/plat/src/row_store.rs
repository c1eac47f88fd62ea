//! The platform's table service: rows by key, read one by one or by prefix, written together under conditions.

use {
    crate::{instance_record::InstanceRecord, plat_error::PlatError},
    serde::{Deserialize, Serialize},
    std::{future::Future, sync::Arc},
};

/// One row as the service keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredRow {
    /// Its key, such as `work/confirm`.
    pub key: Arc<str>,
    /// Its content.
    pub value: Arc<str>,
    /// Counts its writes; it starts at 1, and a row written after a removal goes on counting from 1.
    pub version: u64,
}

/// What has to hold for a transaction to commit: the row's version, 0 for a row that is not there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: Arc<str>,
    /// Its version.
    pub version: u64,
}

/// One write of a transaction; no value removes the row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: Arc<str>,
    /// The new content.
    pub value: Option<Arc<str>>,
}

/// Writes that take effect together, or not at all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// All have to hold.
    pub conditions: Vec<RowCondition>,
    /// All are done.
    pub writes: Vec<RowWrite>,
}

impl Transaction {
    /// Removes a row, under the condition that it is still as it was read.
    pub fn remove(&mut self, row: &StoredRow) {
        self.change(row.key.clone(), row.version, None);
    }

    /// Writes a row, under the condition that it has this version; 0 for one that is not there.
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

/// What became of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum TransactionReply {
    /// All writes are done.
    Committed,
    /// A condition did not hold; nothing is done. The rows named in the conditions, as they are.
    Conflict {
        /// The rows that exist among those named.
        rows: Vec<StoredRow>,
    },
}

/// The transactional table service. After [`PlatError::Unreachable`] a write may have taken effect.
pub trait RowStore: Send + Sync {
    /// Commits a transaction.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionReply, PlatError>> + Send;
    /// Reads one row.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoredRow>, PlatError>> + Send;
    /// Reads all rows whose key starts with `prefix`, by key, from one moment.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<StoredRow>, PlatError>> + Send;
}

/// The list of live and leaving instances; it lags behind reality.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    fn instances(&self) -> impl Future<Output = Result<Vec<InstanceRecord>, PlatError>> + Send;
}
