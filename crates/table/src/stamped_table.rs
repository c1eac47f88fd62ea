//! The replicated form of the table, with a stamp for each row.

use {
    crate::{
        row_change::RowChange, stamped_row::StampedRow, table_head::TableHead,
        table_patch::TablePatch, work_row::WorkRow, work_table::WorkTable,
    },
    kernel::{TableDigest, TableVersion, WorkId},
    std::collections::BTreeMap,
};

/// All rows with their stamps, including tombstones. Tables are joined row by row: the result does not depend on the
/// order of joins, and no row returns to an earlier stamp.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StampedTable {
    digest: TableDigest,
    rows: BTreeMap<WorkId, StampedRow>,
    version: TableVersion,
}

impl StampedTable {
    /// The hash of rows, tombstones and stamps, without the version.
    pub fn digest(&self) -> TableDigest {
        self.digest
    }

    /// Applies an edit that creates `version`.
    pub fn edit(&mut self, version: TableVersion, changes: &[RowChange]) {
        for change in changes {
            let stamped = StampedRow {
                row: change.after.clone(),
                stamp: version,
                written: version,
            };
            self.put(change.work.clone(), stamped);
        }
        self.version = self.version.max(version);
    }

    /// Creates a table from stored rows.
    pub fn from_rows(version: TableVersion, rows: BTreeMap<WorkId, StampedRow>) -> Self {
        let mut table = Self {
            version,
            ..Self::default()
        };
        for (work, stamped) in rows {
            table.put(work, stamped);
        }
        table
    }

    /// The version and the digest.
    pub fn head(&self) -> TableHead {
        TableHead {
            digest: self.digest,
            version: self.version,
        }
    }

    /// Merges the rows of a patch that are newer than the own ones; returns whether the head changed.
    pub fn join(&mut self, patch: &TablePatch) -> bool {
        let before = self.head();
        for (work, stamped) in &patch.rows {
            if self.accepts(work, stamped) {
                self.put(work.clone(), stamped.clone());
            }
        }
        self.version = self.version.max(patch.version);
        self.head() != before
    }

    /// The rows without tombstones, by key.
    pub fn live_rows(&self) -> BTreeMap<WorkId, WorkRow> {
        let live = self.rows.iter();
        live.filter_map(|(work, stamped)| Some((work.clone(), stamped.row.clone()?)))
            .collect()
    }

    /// The rows that the platform stored after a version; all rows for version 0.
    pub fn patch_since(&self, since: TableVersion) -> TablePatch {
        let mut rows = BTreeMap::new();
        for (work, stamped) in &self.rows {
            if stamped.written > since {
                rows.insert(work.clone(), stamped.clone());
            }
        }
        TablePatch {
            digest: self.digest,
            rows,
            since,
            version: self.version,
        }
    }

    /// The rows with their stamps, including tombstones.
    pub fn rows(&self) -> &BTreeMap<WorkId, StampedRow> {
        &self.rows
    }

    /// The table in the form that admission and routing use.
    pub fn to_table(&self) -> WorkTable {
        WorkTable {
            rows: self.live_rows(),
            version: self.version,
        }
    }

    /// The version; 0 before the first edit.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Records that the platform stored the edits missing from `stored` with `version`, which becomes the table's version.
    pub fn write_back(&mut self, stored: &Self, version: TableVersion) {
        for (work, stamped) in &mut self.rows {
            let earlier = stored.rows.get(work);
            if !earlier.is_some_and(|earlier| earlier.is_same_edit(stamped)) {
                stamped.written = version;
            }
        }
        self.version = version;
    }

    // The digest is a sum over rows, so that updating it after a change hashes only the changed row.
    fn put(&mut self, work: WorkId, stamped: StampedRow) {
        let added = stamped.hash(&work);
        let removed = match self.rows.insert(work.clone(), stamped) {
            Some(earlier) => earlier.hash(&work),
            None => 0,
        };
        self.digest = self.digest.wrapping_sub(removed).wrapping_add(added);
    }

    fn accepts(&self, work: &WorkId, stamped: &StampedRow) -> bool {
        match self.rows.get(work) {
            // An edit that the platform stored again is propagated again.
            Some(held) if held.is_same_edit(stamped) => stamped.written > held.written,
            Some(held) => stamped.supersedes(held, work),
            None => true,
        }
    }
}
