//! One row with the version of its last change.

use {
    crate::work_row::WorkRow,
    kernel::{TableVersion, seeded_rng::mix},
    serde::{Deserialize, Serialize},
};

/// A row or the tombstone of a removed row, with the table version of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StampedRow {
    /// The row; `None` is a tombstone.
    pub row: Option<WorkRow>,
    /// The version that the edit created; it decides which edit of the row is in force.
    pub stamp: TableVersion,
    /// The version with which the platform stored the edit: greater than the stamp after a write-back. It decides which
    /// rows an instance that is behind still lacks, and is not part of the digest.
    pub written: TableVersion,
}

impl StampedRow {
    /// The hash of key, row and stamp.
    pub(crate) fn hash(&self, work: &str) -> u64 {
        let text = serde_json::to_vec(&(&self.row, self.stamp)).unwrap_or_default();
        mix(mix(0, work.as_bytes()), &text)
    }

    /// Whether both rows come from the same edit.
    pub fn is_same_edit(&self, other: &Self) -> bool {
        self.stamp == other.stamp && self.row == other.row
    }

    /// Whether this row takes precedence over `other`: the later stamp wins. Edits with equal stamps are ordered by the
    /// hash of their content, so that every instance chooses the same one.
    pub fn supersedes(&self, other: &Self, work: &str) -> bool {
        if self.stamp != other.stamp {
            return self.stamp > other.stamp;
        }
        !self.is_same_edit(other) && self.hash(work) > other.hash(work)
    }
}
