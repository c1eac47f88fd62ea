//! The list of upstreams at an instance that gets it from a reader. No I/O and no clock.

use {
    crate::{ListChange, ReadingMark},
    kernel::{InstanceId, UpstreamId},
    policy::UpstreamRecord,
    std::collections::BTreeMap,
};

/// The reader's list as far as it was told.
#[derive(Clone, Debug, Default)]
pub struct ListMirror {
    /// Whose list it is, and its state. Two readers that started at the same moment have the same number of their life, so
    /// a mark alone does not tell their lists apart.
    from: Option<(InstanceId, ReadingMark)>,
    rows: BTreeMap<UpstreamId, UpstreamRecord>,
}

impl ListMirror {
    /// Takes a change in that a reader gave; the list has this state then.
    pub fn apply(&mut self, reader: InstanceId, change: ListChange, mark: ReadingMark) {
        self.from = Some((reader, mark));
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

    /// The state of the list as this reader knows it; none if it came from another one.
    pub fn mark(&self, reader: &InstanceId) -> Option<ReadingMark> {
        let (from, mark) = self.from.as_ref()?;
        (from == reader).then_some(*mark)
    }

    /// The list.
    pub fn records(&self) -> Vec<UpstreamRecord> {
        self.rows.values().cloned().collect()
    }
}
