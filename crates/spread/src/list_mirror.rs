//! The list of upstreams at an instance that gets it from a reader. No I/O and no clock.

use {
    crate::{ListChange, ListDigest, ListPart, PartNumber, ReadingMark, list_digest::part_of},
    kernel::{InstanceId, UpstreamId},
    policy::UpstreamRecord,
    std::collections::{BTreeMap, BTreeSet},
};

/// The reader's list as far as it was told.
#[derive(Clone, Debug, Default)]
pub struct ListMirror {
    digest: ListDigest,
    /// Whether the list changed since it was taken last.
    differs: bool,
    /// Whose list it is, and its state; none while parts of it are still to come. Two readers that started at the same moment
    /// have the same number of their life, so a mark alone does not tell their lists apart.
    from: Option<(InstanceId, ReadingMark)>,
    rows: BTreeMap<(PartNumber, UpstreamId), UpstreamRecord>,
}

impl ListMirror {
    /// Takes a change in that a reader gave. Gives whether the list is whole, and has this state.
    #[must_use]
    pub fn apply(&mut self, reader: InstanceId, change: ListChange, mark: ReadingMark) -> bool {
        self.from = None;
        match change {
            ListChange::Changes { changed, gone } => {
                for id in &gone {
                    self.remove(&(part_of(id), id.clone()));
                }
                for record in changed {
                    self.insert(record);
                }
            }
            ListChange::Parts { is_last, parts } => {
                for part in parts {
                    self.keep_only(&part);
                    for record in part.records {
                        self.insert(record);
                    }
                }
                if !is_last {
                    return false;
                }
            }
        }
        self.from = Some((reader, mark));
        true
    }

    /// The digests of the list, for a reader that can't tell by its mark what this instance has.
    pub fn digests(&self) -> Vec<u64> {
        self.digest.parts().to_vec()
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

    /// Whether the list changed since this was asked last.
    pub fn take_difference(&mut self) -> bool {
        std::mem::take(&mut self.differs)
    }

    fn insert(&mut self, record: UpstreamRecord) {
        let key = (part_of(&record.id), record.id.clone());
        if self.rows.get(&key) == Some(&record) {
            return;
        }
        self.remove(&key);
        self.differs = true;
        self.digest.add(&record);
        self.rows.insert(key, record);
    }

    /// Removes the rows of a part that it no longer has.
    fn keep_only(&mut self, part: &ListPart) {
        let first = (part.number, UpstreamId::from(""));
        let rows = self.rows.range(first..);
        let rows = rows.take_while(|((number, _), _)| *number == part.number);
        let kept: BTreeSet<_> = part.records.iter().map(|record| &record.id).collect();
        let gone = rows.filter(|((_, id), _)| !kept.contains(id));
        let keys: Vec<_> = gone.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: &(PartNumber, UpstreamId)) {
        let Some(record) = self.rows.remove(key) else {
            return;
        };
        self.differs = true;
        self.digest.remove(&record);
    }
}
