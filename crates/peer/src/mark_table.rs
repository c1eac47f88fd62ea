//! The upstream marks that an instance has received.

use {
    crate::upstream_mark::UpstreamMark,
    kernel::{InstanceId, UpstreamId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// An upstream and the instance that marked it.
pub type MarkKey = (UpstreamId, InstanceId);

#[derive(Clone, Debug)]
struct StoredMark {
    mark: UpstreamMark,
    raised: Instant,
}

/// Holds the newest mark of each instance on each upstream until it expires. An instance renews a mark that still
/// applies before that.
#[derive(Clone, Debug)]
pub struct MarkTable {
    digest: u64,
    lifetime: Duration,
    limit: usize,
    marks: BTreeMap<MarkKey, StoredMark>,
}

impl MarkTable {
    /// All marks, with their current age.
    pub fn all(&self, now: Instant) -> Vec<UpstreamMark> {
        self.marks.values().map(|stored| stored.at(now)).collect()
    }

    /// A digest that is equal for equal sets of marks.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Drops the expired marks and returns their keys.
    pub fn expire(&mut self, now: Instant) -> Vec<MarkKey> {
        let mut expired = Vec::new();
        for (key, stored) in &self.marks {
            if stored.age(now) < self.lifetime {
                continue;
            }
            expired.push(key.clone());
        }
        for key in &expired {
            self.remove(key);
        }
        expired
    }

    /// One mark, with its current age.
    pub fn get(&self, now: Instant, key: &MarkKey) -> Option<UpstreamMark> {
        self.marks.get(key).map(|stored| stored.at(now))
    }

    /// Creates an empty table that holds at most `limit` marks.
    pub fn new(lifetime: Duration, limit: usize) -> Self {
        Self {
            digest: 0,
            lifetime,
            limit,
            marks: BTreeMap::new(),
        }
    }

    /// Stores a mark; returns `false` when it is not newer than the known one, has expired, or the table is full.
    pub fn put(&mut self, now: Instant, mark: UpstreamMark) -> bool {
        let key = (mark.upstream.clone(), mark.by.clone());
        let known = self.marks.get(&key);
        if known.is_some_and(|known| !mark.supersedes(&known.mark)) {
            return false;
        }
        if mark.age >= self.lifetime {
            return false;
        }
        if known.is_none() && self.marks.len() >= self.limit {
            return false;
        }
        self.remove(&key);
        self.digest ^= mark.digest();
        let raised = now.checked_sub(mark.age).unwrap_or(now);
        self.marks.insert(key, StoredMark { mark, raised });
        true
    }

    fn remove(&mut self, key: &MarkKey) {
        let Some(stored) = self.marks.remove(key) else {
            return;
        };
        self.digest ^= stored.mark.digest();
    }
}

impl StoredMark {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.raised)
    }

    fn at(&self, now: Instant) -> UpstreamMark {
        UpstreamMark {
            age: self.age(now),
            ..self.mark.clone()
        }
    }
}
