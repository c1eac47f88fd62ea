//! Instance list with a configurable lag.

use {
    plat::InstanceRecord,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Past lists kept; older ones are dropped.
const MAX_HISTORY_LEN: usize = 4096;

type InstanceMap = BTreeMap<Arc<str>, InstanceRecord>;

/// Current instances and the history of the list.
#[derive(Clone, Debug, Default)]
pub struct InstanceRegistry {
    current: InstanceMap,
    history: VecDeque<(Instant, InstanceMap)>,
}

impl InstanceRegistry {
    /// Returns the list as of `lag` ago, sorted by name; empty before the first change.
    pub fn list(&self, now: Instant, lag: Duration) -> Vec<InstanceRecord> {
        if lag.is_zero() {
            return self.current.values().cloned().collect();
        }
        for (changed_at, instances) in self.history.iter().rev() {
            if *changed_at + lag <= now {
                return instances.values().cloned().collect();
            }
        }
        Vec::new()
    }

    /// Adds an instance or replaces the one of the same name.
    pub fn put(&mut self, now: Instant, record: InstanceRecord) {
        self.current.insert(record.name.clone(), record);
        self.record_history(now);
    }

    /// Removes an instance; returns `false` if it was not listed.
    pub fn remove(&mut self, now: Instant, name: &str) -> bool {
        let found = self.current.remove(name).is_some();
        self.record_history(now);
        found
    }

    fn record_history(&mut self, now: Instant) {
        self.history.push_back((now, self.current.clone()));
        if self.history.len() > MAX_HISTORY_LEN {
            self.history.pop_front();
        }
    }
}
