//! Which upstreams take no new work, and why.

use {
    crate::{leaving_mark::LeavingMark, load_report::LeavingCause},
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, SystemTime},
    },
};

/// Marks by upstream and cause; instances merge them with every heartbeat.
///
/// The later mark of a cause wins, at one time `leaving` wins, so that merging is commutative, associative and
/// idempotent: marks may come twice and in any order. A mark by failed calls ends by itself, for calls may fail for
/// reasons of the caller; the others stand until their cause takes them back or they are `forgotten_after` old.
#[derive(Clone, Debug)]
pub struct LeavingTable {
    failed_for: Duration,
    forgotten_after: Duration,
    marks: BTreeMap<(UpstreamId, LeavingCause), LeavingMark>,
}

impl LeavingTable {
    /// Drops marks that no longer count. Returns how many went.
    pub fn expire(&mut self, now: SystemTime) -> usize {
        let before = self.marks.len();
        let forgotten_after = self.forgotten_after;
        self.marks
            .retain(|_, mark| age(now, mark.at) < forgotten_after);
        before - self.marks.len()
    }

    /// Why an upstream takes no new work; none when it takes work.
    pub fn leaving_cause(&self, now: SystemTime, upstream: &UpstreamId) -> Option<LeavingCause> {
        let causes = [
            LeavingCause::Failed,
            LeavingCause::Listed,
            LeavingCause::Said,
        ];
        for cause in causes {
            let Some(mark) = self.marks.get(&(upstream.clone(), cause)) else {
                continue;
            };
            if mark.leaving && self.counts(now, mark) {
                return Some(cause);
            }
        }
        None
    }

    /// All marks, for a heartbeat or a dump, by upstream and cause.
    pub fn marks(&self) -> impl Iterator<Item = &LeavingMark> {
        self.marks.values()
    }

    /// Takes a mark in. Whether it changed anything, and so has to be passed on.
    pub fn merge(&mut self, mark: LeavingMark) -> bool {
        let key = (mark.upstream.clone(), mark.cause);
        let known = self.marks.get(&key);
        if known.is_some_and(|known| (known.at, known.leaving) >= (mark.at, mark.leaving)) {
            return false;
        }
        self.marks.insert(key, mark);
        true
    }

    /// A table in which marks by failed calls end after `failed_for`, and all marks after `forgotten_after`.
    pub fn new(failed_for: Duration, forgotten_after: Duration) -> Self {
        Self {
            failed_for,
            forgotten_after,
            marks: BTreeMap::new(),
        }
    }

    fn counts(&self, now: SystemTime, mark: &LeavingMark) -> bool {
        let bound = match mark.cause {
            LeavingCause::Failed => self.failed_for,
            LeavingCause::Listed | LeavingCause::Said => self.forgotten_after,
        };
        age(now, mark.at) < bound
    }
}

/// How old a mark is; zero when its clock is ahead of ours.
fn age(now: SystemTime, at: SystemTime) -> Duration {
    now.duration_since(at).unwrap_or_default()
}
