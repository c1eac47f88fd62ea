//! Reads the list of upstreams from the store: a short list in full, a long one by its changes.

use {
    kernel::{LockRank, RankedLock},
    policy::{StoreVersion, UpstreamRecord},
    relay::{
        CallReason, OperatorSource, SourceError, UpstreamChange, UpstreamChanges, UpstreamSnapshot,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Keeps the last list that was read, so that only what changed since then has to be transferred. A list that the
/// store returns in one call is read in full each time.
#[derive(Debug)]
pub struct ListReader<S> {
    known: RankedLock<Option<KnownList>>,
    store: Arc<S>,
}

/// A list with the version of the store's content up to which it is complete.
#[derive(Clone, Debug)]
struct KnownList {
    /// The upstreams by the names of their rows.
    records: BTreeMap<Arc<str>, UpstreamRecord>,
    version: StoreVersion,
}

impl<S: OperatorSource> ListReader<S> {
    /// A reader that has read nothing yet.
    pub fn new(store: Arc<S>) -> Self {
        Self {
            known: RankedLock::new(LockRank::Readings, None),
            store,
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// The store did not answer. The next read is a full one.
    pub async fn read(&self, reason: CallReason) -> Result<UpstreamSnapshot, SourceError> {
        // Taken out, so that a read that fails or is cancelled is followed by a full one.
        let known = self.known.lock().take();
        if let Some(mut list) = known
            && let Some(changes) = self.store.read_changes(list.version, reason).await?
        {
            let faults = list.apply(changes);
            let snapshot = list.snapshot(faults);
            *self.known.lock() = Some(list);
            return Ok(snapshot);
        }
        let snapshot = self.store.read_upstreams(reason).await?;
        if let Some(version) = snapshot.first_page {
            *self.known.lock() = Some(KnownList::new(&snapshot, version));
        }
        Ok(snapshot)
    }
}

impl KnownList {
    /// Applies changes and returns the faults of unreadable rows, which name no upstream.
    fn apply(&mut self, changes: UpstreamChanges) -> Vec<String> {
        for UpstreamChange { name, record } in changes.rows {
            match record {
                Some(record) => self.records.insert(name, record),
                None => self.records.remove(&name),
            };
        }
        self.version = changes.version;
        changes.faults
    }

    /// A list read in pages, of which the first was read at `version`. Rows that changed while the others were read
    /// may be missing from it, so changes are taken from there on.
    fn new(snapshot: &UpstreamSnapshot, version: StoreVersion) -> Self {
        let records = snapshot.records.iter();
        let records = records.map(|record| (record.name.clone(), record.clone()));
        Self {
            records: records.collect(),
            version,
        }
    }

    fn snapshot(&self, faults: Vec<String>) -> UpstreamSnapshot {
        UpstreamSnapshot {
            faults,
            records: self.records.values().cloned().collect(),
            version: self.version,
            ..UpstreamSnapshot::default()
        }
    }
}
