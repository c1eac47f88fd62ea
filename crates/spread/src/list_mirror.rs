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

    /// The digest of the list.
    pub fn digest(&self) -> &ListDigest {
        &self.digest
    }

    /// The state of the list as this reader knows it; none if it came from another one.
    pub fn mark(&self, reader: &InstanceId) -> Option<ReadingMark> {
        let (from, mark) = self.from.as_ref()?;
        (from == reader).then_some(*mark)
    }

    /// What a reader is told of this list: its state there, or else the digests of its parts.
    pub fn known_at(&self, reader: &InstanceId) -> (Option<ReadingMark>, Vec<u64>) {
        match self.mark(reader) {
            Some(mark) => (Some(mark), Vec::new()),
            None => (None, self.digest.parts().to_vec()),
        }
    }

    /// The list.
    pub fn records(&self) -> Vec<UpstreamRecord> {
        self.rows.values().cloned().collect()
    }

    fn insert(&mut self, record: UpstreamRecord) {
        let key = (part_of(&record.id), record.id.clone());
        if self.rows.get(&key) == Some(&record) {
            return;
        }
        self.remove(&key);
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
        if let Some(record) = self.rows.remove(key) {
            self.digest.remove(&record);
        }
    }
}
