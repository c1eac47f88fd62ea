//! One row of the operators' table: a route by host and path.

use {
    kernel::{RegionId, ServiceId, WorkId, seeded_rng},
    policy::RepeatRule,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    table::Rank,
};

/// Seed of the choice among the services of a route, so that it is independent of other choices by request id.
const TARGET_SEED: u64 = 1;

/// A kind of work that is identified by host and path prefix: its rank, its targets, and the services that run it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkRoute {
    /// The target for the pause between events; `None` for plain services.
    pub between_events: Option<Duration>,
    /// The target for the first byte of the answer.
    pub first_byte: Duration,
    /// The host that the route matches.
    pub host: Arc<str>,
    /// Whether callers need no key.
    pub is_public: bool,
    /// The maximum time to the end of the answer.
    pub patience: Duration,
    /// The path prefix that the route matches; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Lower ranks go first.
    pub rank: Rank,
    /// The regions whose upstreams may process the work; `None` for all, empty for none.
    pub regions: Option<BTreeSet<RegionId>>,
    /// Whether a request may run again after it may have run.
    pub repeat: RepeatRule,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// The services that run the work.
    pub targets: Vec<RouteTarget>,
    /// The maximum number of upstreams that may run one request.
    pub tries: u32,
    /// The name of the row.
    pub work: WorkId,
}

/// One service of a route, with its weight.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its relative share of the requests.
    pub weight: u64,
}

impl WorkRoute {
    /// The route for a request that another instance took from its caller by a route with this rule and these tries. The two
    /// may be of different versions.
    pub fn agreed(self: Arc<Self>, repeat: RepeatRule, tries: u32) -> Arc<Self> {
        let repeat = self.repeat.agreed(repeat);
        let tries = self.tries.min(tries);
        if (repeat, tries) == (self.repeat, self.tries) {
            return self;
        }
        Arc::new(Self {
            repeat,
            tries,
            ..Self::clone(&self)
        })
    }

    /// The service for a request, chosen by its id and the weights; `None` when all weights are 0.
    pub fn service_for(&self, request: &str) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return None;
        }
        let mut draw = seeded_rng::mix(TARGET_SEED, request.as_bytes()) % total;
        for target in &self.targets {
            if draw < target.weight {
                return Some(&target.service);
            }
            draw -= target.weight;
        }
        None
    }
}
