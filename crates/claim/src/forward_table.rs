//! Routes requests with a ticket to its origin or successor.

use {
    crate::incarnation_key::IncarnationKey,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Where to forward a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardRoute {
    /// Neither the origin nor a successor is live: answer [`OriginGone`](kernel::ResultCode::OriginGone).
    Gone,
    /// This instance holds the tickets of that incarnation.
    Local,
    /// That incarnation holds the ticket, or may hold it.
    Remote(IncarnationKey),
}

#[derive(Debug)]
struct SuccessorRecord {
    learned_at: Instant,
    successor: IncarnationKey,
}

/// The known successors of closed incarnations.
#[derive(Debug)]
pub struct ForwardTable {
    retention: Duration,
    successors: BTreeMap<IncarnationKey, SuccessorRecord>,
}

impl ForwardTable {
    /// Records the successor of an incarnation. The first report wins, since an incarnation has only one
    /// successor.
    pub fn add_successor(&mut self, now: Instant, life: IncarnationKey, successor: IncarnationKey) {
        self.sweep(now);
        self.successors.entry(life).or_insert(SuccessorRecord {
            learned_at: now,
            successor,
        });
    }

    /// An empty table. Entries are dropped after `retention`, which should be the maximum expiry of a ticket.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            successors: BTreeMap::new(),
        }
    }

    /// Where a ticket of `life` goes. `holds` tells which incarnations this instance holds, `is_live` which
    /// still answer.
    pub fn route(
        &self,
        life: &IncarnationKey,
        holds: impl Fn(&IncarnationKey) -> bool,
        is_live: impl Fn(&IncarnationKey) -> bool,
    ) -> ForwardRoute {
        let mut at = life;
        // Following more links than there are successors would mean a cycle.
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

    /// All pairs of incarnation and successor.
    pub fn successors(&self) -> impl Iterator<Item = (&IncarnationKey, &IncarnationKey)> {
        self.successors
            .iter()
            .map(|(life, record)| (life, &record.successor))
    }

    /// Drops entries that are older than the retention.
    pub fn sweep(&mut self, now: Instant) {
        let retention = self.retention;
        self.successors
            .retain(|_, record| now.saturating_duration_since(record.learned_at) < retention);
    }
}
