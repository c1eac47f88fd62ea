//! The rows that an instance sends to one that is behind.

use {
    crate::stamped_row::StampedRow,
    kernel::{TableDigest, TableVersion, WorkId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The rows that the platform stored after a version; all rows for version 0.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TablePatch {
    /// The digest of the sender's whole table.
    pub digest: TableDigest,
    /// The rows by their key, including tombstones.
    pub rows: BTreeMap<WorkId, StampedRow>,
    /// The version after which the platform stored the rows.
    pub since: TableVersion,
    /// The version of the sender's whole table.
    pub version: TableVersion,
}

impl TablePatch {
    /// Whether the patch contains all rows.
    pub fn is_whole(&self) -> bool {
        self.since == 0
    }

    /// Whether keys, stamps and versions are consistent with each other.
    pub fn is_sound(&self) -> bool {
        self.rows.iter().all(|(work, stamped)| {
            let has_matching_key = stamped.row.as_ref().is_none_or(|row| row.work == *work);
            let has_ordered_versions =
                self.since < stamped.written && stamped.stamp <= stamped.written;
            has_matching_key && has_ordered_versions && stamped.written <= self.version
        })
    }
}
