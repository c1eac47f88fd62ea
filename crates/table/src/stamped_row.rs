//! One row with the version that wrote it.

use {
    crate::work_row::WorkRow,
    kernel::{TableVersion, seeded_rng::mix},
    serde::{Deserialize, Serialize},
};

/// A row, or the mark of a removed one, and the table's version at its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StampedRow {
    /// The row; none when it was removed.
    pub row: Option<WorkRow>,
    /// The version that the edit made: it decides which edit of the row is in force.
    pub stamp: TableVersion,
    /// The version with which the platform got the edit: greater than the stamp after a write-back. It decides what an
    /// instance that is behind still lacks, and is no part of the digest.
    pub written: TableVersion,
}

impl StampedRow {
    /// The hash of row and stamp.
    pub(crate) fn hash(&self, work: &str) -> u64 {
        let text = serde_json::to_vec(&(&self.row, self.stamp)).unwrap_or_default();
        mix(mix(0, work.as_bytes()), &text)
    }

    /// Whether both come from the same edit.
    pub fn is_same_edit(&self, other: &Self) -> bool {
        self.stamp == other.stamp && self.row == other.row
    }

    /// Whether this row is in force over `other`: the later stamp wins. Two edits with one stamp are told apart by their
    /// content, so that every instance takes the same one.
    pub fn supersedes(&self, other: &Self, work: &str) -> bool {
        if self.stamp != other.stamp {
            return self.stamp > other.stamp;
        }
        !self.is_same_edit(other) && self.hash(work) > other.hash(work)
    }
}
