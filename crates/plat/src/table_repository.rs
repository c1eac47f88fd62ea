//! The operators' table in the platform's table service: one row per kind of work, a head row and an edit log.

use {
    crate::{
        edit_attempts::EditAttempts,
        edit_origin::EditOrigin,
        edit_record::EditRecord,
        edit_request::{EditOutcome, EditRequest},
        head_row::HeadRow,
        plat_error::PlatError,
        row_store::{RowStore, Transaction, TransactionReply},
        stored_table::{decode_row, matches, read_snapshot, undo},
        table_keys::{HEAD_KEY, ROW_PREFIX, edit_key},
        table_snapshot::TableSnapshot,
        table_transaction::TableTransaction,
    },
    kernel::{TableVersion, WorkId},
    std::{collections::BTreeMap, time::Duration},
    table::{FileBase, StampedRow, StampedTable, TablePatch, WorkRow, merge_rows},
};

/// How often a snapshot is read when an edit is committed between its two reads.
const MAX_SNAPSHOT_READS: u32 = 8;
/// A write is abandoned after this many lost replies.
const MAX_LOST_REPLIES: u32 = 8;
/// How often a write is attempted when other edits are committed first.
const MAX_WRITE_ATTEMPTS: u32 = 64;
/// The maximum number of edits that a file may be behind.
const MAX_FILE_LAG: usize = 10_000;
/// The maximum number of edits that a patch is built from.
const MAX_PATCH_EDITS: usize = 32;
/// The delay after a lost reply; the n-th delay is n times as long.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads and edits the table through any [`RowStore`].
#[derive(Clone, Debug)]
pub struct TableRepository<S> {
    retry_delay: Duration,
    store: S,
}

impl<S: RowStore> TableRepository<S> {
    /// Merges a file into the table: one conditional transaction of the changed rows, the head and the log. An
    /// attempt whose reply was lost is recognised by its edit id and never applied twice.
    ///
    /// # Errors
    ///
    /// [`PlatError::OutcomeUnknown`] when a reply was lost and the outcome cannot be read back: applying the
    /// same file again is safe. [`PlatError::BaseUnknown`] or [`PlatError::BaseDiffers`] when the file's
    /// version is not found. Any other error means that nothing was written.
    pub async fn commit_edit(&self, edit: &EditRequest) -> Result<EditOutcome, PlatError> {
        let mut attempts = EditAttempts::default();
        while attempts.count < MAX_WRITE_ATTEMPTS && attempts.lost_replies < MAX_LOST_REPLIES {
            self.delay_before(&mut attempts).await;
            match self.try_edit(edit, &mut attempts).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(error) if error.is_outcome_unknown() => attempts.record_lost_reply(&error),
                Err(error) => return Err(attempts.close(error, &edit.origin)),
            }
        }
        Err(attempts.into_error(&edit.origin))
    }

    /// The head row; `None` before the first edit.
    ///
    /// # Errors
    ///
    /// When the platform cannot be reached or its answer is malformed.
    pub async fn head(&self) -> Result<Option<HeadRow>, PlatError> {
        let row = self.store.get(HEAD_KEY).await?;
        row.as_ref().map(decode_row).transpose()
    }

    /// The latest edits, newest first; at most `limit`.
    ///
    /// # Errors
    ///
    /// [`PlatError::HistoryGap`] when the log lacks an entry, or the error of a read.
    pub async fn history(&self, limit: usize) -> Result<Vec<EditRecord>, PlatError> {
        let mut version = self.head().await?.map_or(0, |head| head.version);
        let mut records = Vec::new();
        while version > 0 && records.len() < limit {
            let record = self.record(version).await?;
            version = record.parent;
            records.push(record);
        }
        Ok(records)
    }

    /// A repository over a store.
    pub fn new(store: S) -> Self {
        Self {
            retry_delay: RETRY_DELAY,
            store,
        }
    }

    /// The rows that changed after a version, from the edit log; all rows when the log does not reach that
    /// version within a few entries. An instance that is one edit behind reads two rows instead of the whole
    /// table.
    ///
    /// # Errors
    ///
    /// As for [`TableRepository::snapshot`].
    pub async fn patch_since(&self, since: TableVersion) -> Result<TablePatch, PlatError> {
        if let Some(head) = self.head().await?
            && let Some(rows) = self.rows_since(head.version, since).await?
        {
            return Ok(TablePatch {
                digest: head.digest,
                rows,
                since,
                version: head.version,
            });
        }
        Ok(self.snapshot().await?.table.patch_since(0))
    }

    /// The log entry of a version.
    ///
    /// # Errors
    ///
    /// [`PlatError::HistoryGap`] when there is none, or the error of a read.
    pub async fn record(&self, version: TableVersion) -> Result<EditRecord, PlatError> {
        let record = self.find_record(version).await?;
        record.ok_or(PlatError::HistoryGap { version })
    }

    /// Writes back accepted edits that the platform lacks, for example after it was restored from an old copy.
    /// Rows keep their stamps, and the new version is greater than both. Returns the platform's version
    /// afterwards.
    ///
    /// # Errors
    ///
    /// As for [`TableRepository::commit_edit`].
    pub async fn restore(
        &self,
        held: &StampedTable,
        origin: &EditOrigin,
    ) -> Result<TableVersion, PlatError> {
        let mut attempts = EditAttempts::default();
        while attempts.count < MAX_WRITE_ATTEMPTS && attempts.lost_replies < MAX_LOST_REPLIES {
            self.delay_before(&mut attempts).await;
            match self.try_restore(held, origin, &mut attempts).await {
                Ok(Some(version)) => return Ok(version),
                Ok(None) => {}
                Err(error) if error.is_outcome_unknown() => attempts.record_lost_reply(&error),
                Err(error) => return Err(attempts.close(error, origin)),
            }
        }
        Err(attempts.into_error(origin))
    }

    /// The rows at the version that a file was taken from, by undoing the edits since.
    ///
    /// # Errors
    ///
    /// [`PlatError::BaseUnknown`] when the version is not in the edit log, [`PlatError::BaseDiffers`] when its
    /// content differs from the file's base.
    pub async fn rows_at(
        &self,
        snapshot: &TableSnapshot,
        base: FileBase,
    ) -> Result<BTreeMap<WorkId, WorkRow>, PlatError> {
        let mut rows = snapshot.table.live_rows();
        let mut version = snapshot.version();
        for _ in 0..MAX_FILE_LAG {
            if matches(base, version, &rows) {
                return Ok(rows);
            }
            if version == base.version {
                return Err(PlatError::BaseDiffers { version });
            }
            if version < base.version && base.digest.is_none() || version == 0 {
                break;
            }
            let record = self.record(version).await?;
            undo(&mut rows, &record);
            version = record.parent;
        }
        Err(PlatError::BaseUnknown {
            version: base.version,
        })
    }

    /// The rows and head of one version, read again until the rows match the head's digest.
    ///
    /// # Errors
    ///
    /// [`PlatError::Inconsistent`] when they never match, or the error of a read.
    pub async fn snapshot(&self) -> Result<TableSnapshot, PlatError> {
        let mut version = 0;
        for _ in 0..MAX_SNAPSHOT_READS {
            let head_row = self.store.get(HEAD_KEY).await?;
            let rows = self.store.scan(ROW_PREFIX).await?;
            let snapshot = read_snapshot(head_row.as_ref(), &rows)?;
            let digest = snapshot.head.as_ref().map_or(0, |head| head.digest);
            if snapshot.table.digest() == digest {
                return Ok(snapshot);
            }
            version = snapshot.version();
        }
        Err(PlatError::Inconsistent { version })
    }

    /// The underlying row store.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Sets the delay after a lost reply.
    pub fn with_retry_delay(self, retry_delay: Duration) -> Self {
        Self {
            retry_delay,
            ..self
        }
    }

    async fn find_record(&self, version: TableVersion) -> Result<Option<EditRecord>, PlatError> {
        let row = self.store.get(&edit_key(version)).await?;
        row.as_ref().map(decode_row).transpose()
    }

    /// The version that an earlier attempt of this edit committed although its reply was lost.
    async fn find_committed(
        &self,
        origin: &EditOrigin,
        attempts: &EditAttempts,
    ) -> Result<Option<TableVersion>, PlatError> {
        for version in &attempts.versions {
            let record = self.find_record(*version).await?;
            if record.is_some_and(|record| record.id == origin.id) {
                return Ok(Some(*version));
            }
        }
        Ok(None)
    }

    async fn delay_before(&self, attempts: &mut EditAttempts) {
        if attempts.lost_replies > 0 {
            tokio::time::sleep(self.retry_delay * attempts.lost_replies).await;
        }
        attempts.count += 1;
    }

    /// The rows changed after `since` up to `version`; `None` when the log does not reach `since`.
    async fn rows_since(
        &self,
        mut version: TableVersion,
        since: TableVersion,
    ) -> Result<Option<BTreeMap<WorkId, StampedRow>>, PlatError> {
        let mut rows = BTreeMap::new();
        for _ in 0..MAX_PATCH_EDITS {
            if version <= since {
                return Ok((version == since).then_some(rows));
            }
            let Some(record) = self.find_record(version).await? else {
                return Ok(None);
            };
            if record.is_write_back {
                return Ok(None);
            }
            for change in record.changes {
                let stamped = StampedRow {
                    row: change.after,
                    stamp: version,
                    written: version,
                };
                // Edits are visited newest first, so the first value of a row is the current one.
                rows.entry(change.work).or_insert(stamped);
            }
            version = record.parent;
        }
        Ok(None)
    }

    /// Sends a transaction; returns whether it was committed.
    async fn send(
        &self,
        transaction: &Transaction,
        version: TableVersion,
        attempts: &mut EditAttempts,
    ) -> Result<bool, PlatError> {
        match self.store.commit(transaction).await {
            Ok(TransactionReply::Committed) => Ok(true),
            Ok(TransactionReply::Conflict { .. }) => Ok(false),
            Err(error) => {
                if error.is_outcome_unknown() {
                    attempts.versions.push(version);
                }
                Err(error)
            }
        }
    }

    async fn try_edit(
        &self,
        edit: &EditRequest,
        attempts: &mut EditAttempts,
    ) -> Result<Option<EditOutcome>, PlatError> {
        if let Some(version) = self.find_committed(&edit.origin, attempts).await? {
            let merge = attempts.merge.take().unwrap_or_default();
            return Ok(Some(EditOutcome::Committed { merge, version }));
        }
        let snapshot = self.snapshot().await?;
        let base = self.rows_at(&snapshot, edit.base).await?;
        let merge = merge_rows(&base, &edit.rows, &snapshot.table.live_rows());
        let version = snapshot.version();
        if !merge.conflicts.is_empty() {
            let conflicts = merge.conflicts;
            return Ok(Some(EditOutcome::Conflict { conflicts, version }));
        }
        if merge.changes.is_empty() {
            return Ok(Some(EditOutcome::Unchanged { version }));
        }
        let version = edit.origin.next_version(snapshot.version());
        let mut table = snapshot.table.clone();
        table.edit(version, &merge.changes);
        let transaction = TableTransaction::new(&snapshot, &table, version);
        let transaction = transaction.build(&edit.origin, &merge.changes)?;
        attempts.merge = Some(merge.clone());
        let is_committed = self.send(&transaction, version, attempts).await?;
        Ok(is_committed.then_some(EditOutcome::Committed { merge, version }))
    }

    async fn try_restore(
        &self,
        held: &StampedTable,
        origin: &EditOrigin,
        attempts: &mut EditAttempts,
    ) -> Result<Option<TableVersion>, PlatError> {
        if let Some(version) = self.find_committed(origin, attempts).await? {
            return Ok(Some(version));
        }
        let snapshot = self.snapshot().await?;
        let mut table = snapshot.table.clone();
        if !table.join(&held.patch_since(0)) {
            return Ok(Some(snapshot.version()));
        }
        let version = origin.next_version(table.version());
        table.write_back(&snapshot.table, version);
        let changes = table::diff_rows(&snapshot.table.live_rows(), &table.live_rows());
        let transaction = TableTransaction::new(&snapshot, &table, version);
        let transaction = transaction.write_back().build(origin, &changes)?;
        let is_committed = self.send(&transaction, version, attempts).await?;
        Ok(is_committed.then_some(version))
    }
}
