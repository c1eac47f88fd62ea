//! The list of upstreams at an instance that gets it from a reader. No I/O and no clock.

use {
    crate::{ListChange, ReadingMark},
    kernel::UpstreamId,
    policy::UpstreamRecord,
    std::collections::BTreeMap,
};

/// The reader's list as far as it was told.
#[derive(Clone, Debug, Default)]
pub struct ListMirror {
    mark: Option<ReadingMark>,
    rows: BTreeMap<UpstreamId, UpstreamRecord>,
}

impl ListMirror {
    /// Takes a change in; the list has this state then.
    pub fn apply(&mut self, change: ListChange, mark: ReadingMark) {
        self.mark = Some(mark);
        let changed = match change {
            ListChange::Changes { changed, gone } => {
                for id in &gone {
                    self.rows.remove(id);
                }
                changed
            }
            ListChange::Whole(records) => {
                self.rows.clear();
                records
            }
        };
        for record in changed {
            self.rows.insert(record.id.clone(), record);
        }
    }

    /// The state of the list; none before the first change.
    pub fn mark(&self) -> Option<ReadingMark> {
        self.mark
    }

    /// The list.
    pub fn records(&self) -> Vec<UpstreamRecord> {
        self.rows.values().cloned().collect()
    }
}
