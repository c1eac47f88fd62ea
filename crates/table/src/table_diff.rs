//! Computes the difference between two sets of rows.

use {
    crate::{row_change::RowChange, work_row::WorkRow},
    kernel::WorkId,
    std::collections::{BTreeMap, BTreeSet},
};

/// The rows that differ, ordered by key.
pub fn diff_rows(
    before: &BTreeMap<WorkId, WorkRow>,
    after: &BTreeMap<WorkId, WorkRow>,
) -> Vec<RowChange> {
    let keys: BTreeSet<&WorkId> = before.keys().chain(after.keys()).collect();
    let mut changes = Vec::new();
    for work in keys {
        let old = before.get(work);
        let new = after.get(work);
        if old == new {
            continue;
        }
        changes.push(RowChange {
            after: new.cloned(),
            before: old.cloned(),
            work: work.clone(),
        });
    }
    changes
}
