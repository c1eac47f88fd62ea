//! Where a request with a ticket goes.

use {
    crate::incarnation_key::IncarnationKey,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Where to pass a request on to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardRoute {
    /// The origin is gone: [`OriginGone`](kernel::ResultCode::OriginGone). Nothing but that is true here.
    Gone,
    /// This instance holds the ticket's life.
    Local,
    /// That life holds it, or may.
    Remote(IncarnationKey),
}

#[derive(Debug)]
struct SuccessorRecord {
    learned_at: Instant,
    successor: IncarnationKey,
}

/// The successors of closed lives, as far as this instance has heard.
#[derive(Debug)]
pub struct ForwardTable {
    retention: Duration,
    successors: BTreeMap<IncarnationKey, SuccessorRecord>,
}

impl ForwardTable {
    /// Learns that a life was handed over. The first word stands: a life has one successor.
    pub fn add_successor(&mut self, now: Instant, life: IncarnationKey, successor: IncarnationKey) {
        self.sweep(now);
        self.successors.entry(life).or_insert(SuccessorRecord {
            learned_at: now,
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
        life: &IncarnationKey,
        holds: impl Fn(&IncarnationKey) -> bool,
        is_live: impl Fn(&IncarnationKey) -> bool,
    ) -> ForwardRoute {
        let mut at = life;
        // Each step goes to another successor; more steps than there are would be a circle.
        for _ in 0..=self.successors.len() {
            if holds(at) {
                return ForwardRoute::Local;
            }
            let Some(record) = self.successors.get(at) else {
                break;
            };
            at = &record.successor;
        }
        if holds(at) {
            return ForwardRoute::Local;
        }
        if is_live(at) {
            return ForwardRoute::Remote(at.clone());
        }
        ForwardRoute::Gone
    }

    /// The successors, by life.
    pub fn successors(&self) -> impl Iterator<Item = (&IncarnationKey, &IncarnationKey)> {
        self.successors
            .iter()
            .map(|(life, record)| (life, &record.successor))
    }

    /// Forgets what is older than the retention.
    pub fn sweep(&mut self, now: Instant) {
        let retention = self.retention;
        self.successors
            .retain(|_, record| now.saturating_duration_since(record.learned_at) < retention);
    }
}
