//! One row of the operators' table as it is declared by host and path.

use {
    kernel::{ServiceId, WorkId, seeded_rng},
    policy::RepeatRule,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    table::Rank,
};

/// The seed of the draw among the services of a route, so that it does not repeat other draws by request id.
const TARGET_SEED: u64 = 1;

/// A kind of work that is told by host and path prefix: its rank, its targets, and where it runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkRoute {
    /// The longest pause between events that is still on time; none for plain services.
    pub between_events: Option<Duration>,
    /// The target for the first byte of the answer.
    pub first_byte: Duration,
    /// The host that the route answers for.
    pub host: Arc<str>,
    /// Whether callers need no key here.
    pub is_public: bool,
    /// How long a caller may be kept waiting for the whole answer.
    pub patience: Duration,
    /// The start of the paths that the route takes; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Lower goes first.
    pub rank: Rank,
    /// Whether it may run again.
    pub repeat: RepeatRule,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// The services that the route goes to.
    pub targets: Vec<RouteTarget>,
    /// On how many upstreams one request may run.
    pub tries: u32,
    /// The name of the row.
    pub work: WorkId,
}

/// One service of a route, with its share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its share among the services of the route.
    pub weight: u64,
}

impl WorkRoute {
    /// The service for a request, drawn by its id and the weights. None when no service has a weight.
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
