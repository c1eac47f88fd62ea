//! Conversion between the table and its stored rows.

use {
    crate::{
        edit_record::EditRecord, head_row::HeadRow, plat_error::PlatError, row_store::StoredRow,
        table_keys::ROW_PREFIX, table_snapshot::TableSnapshot,
    },
    kernel::{TableDigest, TableVersion, WorkId},
    serde::de::DeserializeOwned,
    std::collections::BTreeMap,
    table::{FileBase, StampedTable, WorkRow, WorkTable},
};

/// Parses the value of a stored row.
pub(crate) fn decode_row<T: DeserializeOwned>(row: &StoredRow) -> Result<T, PlatError> {
    serde_json::from_str(&row.value).map_err(|error| PlatError::Garbled {
        detail: format!("row {}: {error}", row.key),
    })
}

/// Whether a file was taken from these rows. A restored platform may have the same content under a later
/// version, so the digest takes precedence over the version.
pub(crate) fn matches(
    base: FileBase,
    version: TableVersion,
    rows: &BTreeMap<WorkId, WorkRow>,
) -> bool {
    match base.digest {
        Some(digest) => content_digest(rows) == digest,
        None => base.version == version,
    }
}

/// The digest in the version line of a file, over the live rows only.
pub fn content_digest(rows: &BTreeMap<WorkId, WorkRow>) -> TableDigest {
    let table = WorkTable {
        rows: rows.clone(),
        version: 0,
    };
    table.digest()
}

/// Combines the head and the rows, which may be from different versions.
pub(crate) fn read_snapshot(
    head_row: Option<&StoredRow>,
    rows: &[StoredRow],
) -> Result<TableSnapshot, PlatError> {
    let head: Option<HeadRow> = head_row.map(decode_row).transpose()?;
    let mut row_versions = BTreeMap::new();
    let mut stamped = BTreeMap::new();
    for row in rows {
        let work: WorkId = row.key.trim_start_matches(ROW_PREFIX).into();
        row_versions.insert(work.clone(), row.version);
        stamped.insert(work, decode_row(row)?);
    }
    let version = head.as_ref().map_or(0, |head| head.version);
    Ok(TableSnapshot {
        head,
        head_row_version: head_row.map_or(0, |row| row.version),
        row_versions,
        table: StampedTable::from_rows(version, stamped),
    })
}

/// Reverts the rows to their state before an edit.
pub(crate) fn undo(rows: &mut BTreeMap<WorkId, WorkRow>, record: &EditRecord) {
    for change in &record.changes {
        match &change.before {
            Some(row) => rows.insert(change.work.clone(), row.clone()),
            None => rows.remove(&change.work),
        };
    }
}
