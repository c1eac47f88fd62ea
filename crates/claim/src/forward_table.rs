//! Where a request with a ticket goes.

use {
    crate::life_key::LifeKey,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Where to pass a request on to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardCourse {
    /// The origin is gone: [`OriginGone`](kernel::ResultCode::OriginGone). Nothing but that is true here.
    Gone,
    /// This instance holds the ticket's life.
    Local,
    /// That life holds it, or may.
    Remote(LifeKey),
}

#[derive(Debug)]
struct SuccessorRecord {
    learnt: Instant,
    successor: LifeKey,
}

/// The successors of closed lives, as far as this instance has heard.
#[derive(Debug)]
pub struct ForwardTable {
    retention: Duration,
    successors: BTreeMap<LifeKey, SuccessorRecord>,
}

impl ForwardTable {
    /// Learns that a life was handed over. The first word stands: a life has one successor.
    pub fn learn(&mut self, now: Instant, life: LifeKey, successor: LifeKey) {
        self.sweep(now);
        self.successors.entry(life).or_insert(SuccessorRecord {
            learnt: now,
            successor,
        });
    }

    /// No successors; each is forgotten after `retention`, which ought to be the longest expiry of a ticket.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            successors: BTreeMap::new(),
        }
    }

    /// Where a ticket of `life` goes. `holds` tells what this instance holds, `is_live` which lives still answer.
    pub fn route(
        &self,
        life: &LifeKey,
        holds: impl Fn(&LifeKey) -> bool,
        is_live: impl Fn(&LifeKey) -> bool,
    ) -> ForwardCourse {
        let mut at = life;
        // Each step goes to another successor; more steps than there are would be a circle.
        for _ in 0..=self.successors.len() {
            if holds(at) {
                return ForwardCourse::Local;
            }
            let Some(record) = self.successors.get(at) else {
                break;
            };
            at = &record.successor;
        }
        if holds(at) {
            return ForwardCourse::Local;
        }
        if is_live(at) {
            return ForwardCourse::Remote(at.clone());
        }
        ForwardCourse::Gone
    }

    /// The successors, by life.
    pub fn successors(&self) -> impl Iterator<Item = (&LifeKey, &LifeKey)> {
        self.successors
            .iter()
            .map(|(life, record)| (life, &record.successor))
    }

    /// Forgets what is older than the retention.
    pub fn sweep(&mut self, now: Instant) {
        let retention = self.retention;
        self.successors
            .retain(|_, record| now.saturating_duration_since(record.learnt) < retention);
    }
}
