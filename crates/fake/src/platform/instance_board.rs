//! The list of instances, shown as it was a while ago.

use {
    plat::InstanceRecord,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How many past lists are kept.
const PAST_LISTS: usize = 4096;

type InstanceMap = BTreeMap<Arc<str>, InstanceRecord>;

/// The instances now, and how the list was.
#[derive(Clone, Debug, Default)]
pub struct InstanceBoard {
    now: InstanceMap,
    past: VecDeque<(Instant, InstanceMap)>,
}

impl InstanceBoard {
    /// The list as it was `lag` ago, by name; empty before the first change.
    pub fn list(&self, now: Instant, lag: Duration) -> Vec<InstanceRecord> {
        if lag.is_zero() {
            return self.now.values().cloned().collect();
        }
        for (changed, map) in self.past.iter().rev() {
            if *changed + lag <= now {
                return map.values().cloned().collect();
            }
        }
        Vec::new()
    }

    /// Puts one instance in the list, in place of an earlier one of its name.
    pub fn put(&mut self, now: Instant, record: InstanceRecord) {
        self.now.insert(record.name.clone(), record);
        self.remember(now);
    }

    /// Takes one instance off the list; `false` if it was not there.
    pub fn remove(&mut self, now: Instant, name: &str) -> bool {
        let found = self.now.remove(name).is_some();
        self.remember(now);
        found
    }

    fn remember(&mut self, now: Instant) {
        self.past.push_back((now, self.now.clone()));
        if self.past.len() > PAST_LISTS {
            self.past.pop_front();
        }
    }
}
