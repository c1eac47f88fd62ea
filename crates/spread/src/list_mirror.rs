//! A copy of a reader's list of upstreams, kept up to date by the changes it sends. No I/O and no
//! clock.

use {
    crate::{JournalPosition, ListChange, ListDigest, ListPart, PartNumber, list_digest::part_of},
    kernel::{InstanceId, UpstreamId},
    policy::UpstreamRecord,
    std::collections::{BTreeMap, BTreeSet},
};

/// The copy, as far as the reader has sent its list.
#[derive(Clone, Debug, Default)]
pub struct ListMirror {
    digest: ListDigest,
    /// The reader that the list came from and its position there; `None` while parts are missing.
    /// The position alone does not identify a list: two readers that started at the same moment
    /// have the same incarnation number.
    from: Option<(InstanceId, JournalPosition)>,
    rows: BTreeMap<(PartNumber, UpstreamId), UpstreamRecord>,
}

impl ListMirror {
    /// Applies a change from a reader. Returns whether the list is now complete and at the given
    /// position.
    #[must_use]
    pub fn apply(
        &mut self,
        reader: InstanceId,
        change: ListChange,
        position: JournalPosition,
    ) -> bool {
        self.from = None;
        match change {
            ListChange::Changes { changed, removed } => {
                for id in &removed {
                    self.remove(&(part_of(id), id.clone()));
                }
                for record in changed {
                    self.insert(record);
                }
            }
            ListChange::Parts { is_last, parts } => {
                for part in parts {
                    self.retain_part(&part);
                    for record in part.records {
                        self.insert(record);
                    }
                }
                if !is_last {
                    return false;
                }
            }
        }
        self.from = Some((reader, position));
        true
    }

    /// Digest of the copy.
    pub fn digest(&self) -> &ListDigest {
        &self.digest
    }

    /// Position of the list in this reader's journal; `None` if the list came from another reader.
    pub fn position(&self, reader: &InstanceId) -> Option<JournalPosition> {
        let (from, position) = self.from.as_ref()?;
        (from == reader).then_some(*position)
    }

    /// What to send a reader with a request: the position in its journal, or else the digests of
    /// the parts.
    pub fn known_state(&self, reader: &InstanceId) -> (Option<JournalPosition>, Vec<u64>) {
        match self.position(reader) {
            Some(position) => (Some(position), Vec::new()),
            None => (None, self.digest.parts().to_vec()),
        }
    }

    /// All rows, ordered by part and id.
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

    /// Removes the rows of a part that are not in the received one.
    fn retain_part(&mut self, part: &ListPart) {
        let first = (part.number, UpstreamId::from(""));
        let rows = self.rows.range(first..);
        let rows = rows.take_while(|((number, _), _)| *number == part.number);
        let kept: BTreeSet<_> = part.records.iter().map(|record| &record.id).collect();
        let removed = rows.filter(|((_, id), _)| !kept.contains(id));
        let keys: Vec<_> = removed.map(|(key, _)| key.clone()).collect();
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
