//! Builds the transaction that updates the stored table.

use {
    crate::{
        edit_origin::EditOrigin,
        edit_record::EditRecord,
        head_row::HeadRow,
        plat_error::PlatError,
        row_store::{RowCondition, RowWrite, Transaction},
        table_keys::{HEAD_KEY, edit_key, row_key},
        table_snapshot::TableSnapshot,
    },
    kernel::TableVersion,
    serde::Serialize,
    table::{RowChange, StampedTable},
};

/// The transaction from a snapshot to a new table at a version.
pub(crate) struct TableTransaction<'a> {
    is_write_back: bool,
    snapshot: &'a TableSnapshot,
    table: &'a StampedTable,
    transaction: Transaction,
    version: TableVersion,
}

impl<'a> TableTransaction<'a> {
    /// Builds the transaction: changed rows, log entry and head, each on condition that it is unchanged since
    /// the snapshot.
    pub(crate) fn build(
        mut self,
        origin: &EditOrigin,
        changes: &[RowChange],
    ) -> Result<Transaction, PlatError> {
        let record = EditRecord {
            at: origin.at,
            author: origin.author.clone(),
            changes: changes.to_vec(),
            id: origin.id.clone(),
            is_write_back: self.is_write_back,
            parent: self.snapshot.version(),
            version: self.version,
        };
        let head = HeadRow {
            digest: self.table.digest(),
            edit: origin.id.clone(),
            version: self.version,
        };
        self.put(HEAD_KEY, self.snapshot.head_row_version, &head)?;
        self.put(&edit_key(self.version), 0, &record)?;
        for (work, stamped) in self.table.rows() {
            let stored = self.snapshot.table.rows().get(work);
            if stored.is_some_and(|stored| stored.is_same_edit(stamped)) {
                continue;
            }
            let counts = &self.snapshot.row_versions;
            let count = counts.get(work).copied().unwrap_or_default();
            self.put(&row_key(work), count, stamped)?;
        }
        Ok(self.transaction)
    }

    pub(crate) fn new(
        snapshot: &'a TableSnapshot,
        table: &'a StampedTable,
        version: TableVersion,
    ) -> Self {
        Self {
            is_write_back: false,
            snapshot,
            table,
            transaction: Transaction::default(),
            version,
        }
    }

    /// Marks the log entry as a write-back.
    pub(crate) fn write_back(self) -> Self {
        Self {
            is_write_back: true,
            ..self
        }
    }

    fn put<T: Serialize>(&mut self, key: &str, count: u64, value: &T) -> Result<(), PlatError> {
        let text = serde_json::to_string(value).map_err(|error| PlatError::Garbled {
            detail: format!("row {key}: {error}"),
        })?;
        self.transaction.conditions.push(RowCondition {
            key: key.into(),
            version: count,
        });
        self.transaction.writes.push(RowWrite {
            key: key.into(),
            value: Some(text.into()),
        });
        Ok(())
    }
}
