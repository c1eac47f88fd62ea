//! The upstreams that take no new work, and why.

use {
    crate::{leaving_mark::LeavingMark, load_report::LeavingCause},
    kernel::UpstreamId,
    std::{
        collections::BTreeMap,
        time::{Duration, SystemTime},
    },
};

/// The latest mark per upstream and cause; instances merge them with every heartbeat.
///
/// The later mark of a cause wins, and of two marks with the same time the one that is `leaving`. Merging is therefore
/// commutative, associative and idempotent: marks may arrive repeatedly and in any order. A mark by failed calls
/// expires after `failed_for`, since calls may also fail because of the caller. The others hold until they are revoked
/// or `forgotten_after` old.
#[derive(Clone, Debug)]
pub struct LeavingTable {
    failed_for: Duration,
    forgotten_after: Duration,
    marks: BTreeMap<(UpstreamId, LeavingCause), LeavingMark>,
}

impl LeavingTable {
    /// Removes marks older than `forgotten_after`, and returns how many.
    pub fn expire(&mut self, now: SystemTime) -> usize {
        let before = self.marks.len();
        let forgotten_after = self.forgotten_after;
        self.marks
            .retain(|_, mark| age(now, mark.at) < forgotten_after);
        before - self.marks.len()
    }

    /// Why an upstream takes no new work; `None` when it does.
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

    /// All marks, sorted by upstream and cause.
    pub fn marks(&self) -> impl Iterator<Item = &LeavingMark> {
        self.marks.values()
    }

    /// Merges a mark; returns whether it changed the table and has to be forwarded.
    pub fn merge(&mut self, mark: LeavingMark) -> bool {
        let key = (mark.upstream.clone(), mark.cause);
        let known = self.marks.get(&key);
        if known.is_some_and(|known| (known.at, known.leaving) >= (mark.at, mark.leaving)) {
            return false;
        }
        self.marks.insert(key, mark);
        true
    }

    /// Creates a table whose marks by failed calls expire after `failed_for`, and all others after `forgotten_after`.
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

/// The age of a mark; zero when the clock of its origin is ahead.
fn age(now: SystemTime, at: SystemTime) -> Duration {
    now.duration_since(at).unwrap_or_default()
}
