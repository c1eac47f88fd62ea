//! The list of upstreams at its reader, with what it takes to tell others what changed. No I/O and no clock.

use {
    crate::{ListChange, ReadingMark},
    kernel::{Incarnation, UpstreamId},
    policy::UpstreamRecord,
    std::collections::BTreeMap,
};

/// How many removed upstreams are remembered. An asker that is behind by more gets the whole list.
const REMOVED_LIMIT: usize = 1_000;

#[derive(Clone, Debug)]
struct JournalRow {
    /// None for one that is no longer listed.
    record: Option<UpstreamRecord>,
    revision: u64,
}

/// The list by id, each row with the revision of its last change.
#[derive(Clone, Debug)]
pub struct ListJournal {
    /// Askers that know of no later revision get the whole list.
    floor: u64,
    mark: ReadingMark,
    rows: BTreeMap<UpstreamId, JournalRow>,
}

impl ListJournal {
    /// What an asker with this list has to change.
    pub fn change_since(&self, have: Option<ReadingMark>) -> ListChange {
        let known = have.filter(|have| have.life == self.mark.life && have.revision >= self.floor);
        let Some(known) = known else {
            let records = self.rows.values().filter_map(|row| row.record.clone());
            return ListChange::Whole(records.collect());
        };
        let mut changed = Vec::new();
        let mut gone = Vec::new();
        for (id, row) in &self.rows {
            if row.revision <= known.revision {
                continue;
            }
            match &row.record {
                Some(record) => changed.push(record.clone()),
                None => gone.push(id.clone()),
            }
        }
        ListChange::Changes { changed, gone }
    }

    /// The state of the list.
    pub fn mark(&self) -> ReadingMark {
        self.mark
    }

    /// A list that was never read, of this life of the reader.
    pub fn new(life: Incarnation) -> Self {
        Self {
            floor: 0,
            mark: ReadingMark { life, revision: 0 },
            rows: BTreeMap::new(),
        }
    }

    /// Takes a reading in.
    pub fn take(&mut self, records: &[UpstreamRecord]) {
        let revision = self.mark.revision + 1;
        let mut differs = false;
        let mut before = std::mem::take(&mut self.rows);
        for record in records {
            let row = match before.remove(&record.id) {
                Some(row) if row.record.as_ref() == Some(record) => row,
                _ => {
                    differs = true;
                    JournalRow {
                        record: Some(record.clone()),
                        revision,
                    }
                }
            };
            self.rows.insert(record.id.clone(), row);
        }
        for (id, mut row) in before {
            if row.record.take().is_some() {
                differs = true;
                row.revision = revision;
            }
            self.rows.insert(id, row);
        }
        if differs {
            self.mark.revision = revision;
        }
        self.forget_removed();
    }

    /// Forgets the removals that are longest ago.
    fn forget_removed(&mut self) {
        let removed = self.rows.values().filter(|row| row.record.is_none());
        let mut revisions: Vec<u64> = removed.map(|row| row.revision).collect();
        if revisions.len() <= REMOVED_LIMIT {
            return;
        }
        revisions.sort_unstable();
        self.floor = revisions[revisions.len() - REMOVED_LIMIT - 1];
        let floor = self.floor;
        self.rows
            .retain(|_, row| row.record.is_some() || row.revision > floor);
    }
}
