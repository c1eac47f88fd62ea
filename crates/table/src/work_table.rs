//! The table at one version, as used by admission and routing.

use {
    crate::work_row::WorkRow,
    kernel::{TableDigest, TableVersion, WorkId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// All rows at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkTable {
    /// The rows by their key.
    pub rows: BTreeMap<WorkId, WorkRow>,
    /// The version of the whole table; 0 before the first edit.
    pub version: TableVersion,
}

impl WorkTable {
    /// The hash of the rows, equal for equal rows on every instance.
    pub fn digest(&self) -> TableDigest {
        let mut digest = 0;
        for row in self.rows.values() {
            let text = serde_json::to_vec(row).unwrap_or_default();
            digest = kernel::seeded_rng::mix(digest, &text);
        }
        digest
    }

    /// The row of a kind of work.
    pub fn row(&self, work: &str) -> Option<&WorkRow> {
        self.rows.get(work)
    }
}
