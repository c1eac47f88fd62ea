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
    /// The version that the edit made.
    pub stamp: TableVersion,
}

impl StampedRow {
    /// The hash of the content.
    pub(crate) fn hash(&self, work: &str) -> u64 {
        let text = serde_json::to_vec(self).unwrap_or_default();
        mix(mix(0, work.as_bytes()), &text)
    }

    /// Whether this row is in force over `other`: the later stamp wins. Two edits with one stamp are told apart by their
    /// content, so that every instance takes the same one.
    pub fn wins_over(&self, other: &Self, work: &str) -> bool {
        if self.stamp != other.stamp {
            return self.stamp > other.stamp;
        }
        self != other && self.hash(work) > other.hash(work)
    }
}
