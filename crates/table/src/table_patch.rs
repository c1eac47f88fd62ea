//! What one instance sends another that is behind.

use {
    crate::stamped_row::StampedRow,
    kernel::{TableDigest, TableVersion, WorkId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The rows that the platform got after a version; after version 0, all of them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TablePatch {
    /// The digest of the sender's whole table.
    pub digest: TableDigest,
    /// The rows by their key, removed ones as well.
    pub rows: BTreeMap<WorkId, StampedRow>,
    /// The platform got the rows after this version.
    pub since: TableVersion,
    /// The version of the sender's whole table.
    pub version: TableVersion,
}

impl TablePatch {
    /// Whether the patch has all rows.
    pub fn is_whole(&self) -> bool {
        self.since == 0
    }

    /// Whether stamps and keys agree with each other and with the version.
    pub fn is_sound(&self) -> bool {
        self.rows.iter().all(|(work, stamped)| {
            let named = stamped.row.as_ref().is_none_or(|row| row.work == *work);
            let rises = self.since < stamped.written && stamped.stamp <= stamped.written;
            named && rises && stamped.written <= self.version
        })
    }
}
