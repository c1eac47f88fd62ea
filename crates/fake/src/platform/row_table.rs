//! Versioned rows with conditional transactions.

use {
    plat::{RowWrite, StoredRow, Transaction, TransactionReply},
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
};

/// In-memory table of versioned rows.
#[derive(Clone, Debug, Default)]
pub struct RowTable {
    rows: BTreeMap<Arc<str>, StoredRow>,
}

impl RowTable {
    /// Applies all writes of a transaction if all its conditions hold, and none otherwise.
    pub fn commit(&mut self, transaction: &Transaction) -> TransactionReply {
        if !self.conditions_hold(transaction) {
            return TransactionReply::Conflict {
                rows: self.condition_rows(transaction),
            };
        }
        for write in &transaction.writes {
            self.apply(write);
        }
        TransactionReply::Committed
    }

    /// Row of a key; `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<&StoredRow> {
        self.rows.get(key)
    }

    /// Rows whose key starts with `prefix`, sorted by key.
    pub fn scan(&self, prefix: &str) -> Vec<StoredRow> {
        self.rows
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    fn conditions_hold(&self, transaction: &Transaction) -> bool {
        transaction
            .conditions
            .iter()
            .all(|condition| self.version(&condition.key) == condition.version)
    }

    fn apply(&mut self, write: &RowWrite) {
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return;
        };
        let row = StoredRow {
            key: write.key.clone(),
            value: value.clone(),
            version: self.version(&write.key) + 1,
        };
        self.rows.insert(write.key.clone(), row);
    }

    fn condition_rows(&self, transaction: &Transaction) -> Vec<StoredRow> {
        transaction
            .conditions
            .iter()
            .filter_map(|condition| self.rows.get(&condition.key).cloned())
            .collect()
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }
}
