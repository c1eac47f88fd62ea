//! One row of the table.

use {
    crate::rank::{Rank, Urgency},
    kernel::{ModelId, ServiceId, WorkId, ZoneId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One kind of work, with its priority, limits and placement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkRow {
    /// The target time between tokens; `None` for plain services.
    pub between_tokens: Option<Duration>,
    /// The target time to the first token (the first byte for plain services). Rows with a target are urgent, others
    /// patient.
    pub first_token: Option<Duration>,
    /// The maximum number of requests in flight over all availability zones; `None` is unlimited.
    pub limit: Option<u32>,
    /// The model, for rows that go to model engines; `None` for plain services.
    pub model: Option<ModelId>,
    /// How long a request waits in the queue before it is refused without having run.
    pub patience: Duration,
    /// The priority: lower is admitted first.
    pub rank: Rank,
    /// Whether requests are idempotent: one may run again when it is unknown whether it ran.
    pub repeat: bool,
    /// The maximum number of retries of an unsent or idempotent request.
    pub retries: u8,
    /// The service whose upstreams serve the row.
    pub service: ServiceId,
    /// The share of wasted prefill that the row accepts for goodput, 0 to 1. With 0, a prompt is prefilled only when a
    /// decode place is certain.
    pub waste: f64,
    /// The weight among rows of one rank; greater than 0.
    pub weight: f64,
    /// The key of the row.
    pub work: WorkId,
    /// The availability zones in which the row may run; empty means all.
    pub zones: Vec<ZoneId>,
}

impl WorkRow {
    /// Whether the row may run in an availability zone.
    pub fn allows(&self, zone: &str) -> bool {
        self.zones.is_empty() || self.zones.iter().any(|allowed| &**allowed == zone)
    }

    /// Urgent if the row has a target for the first token.
    pub fn urgency(&self) -> Urgency {
        match self.first_token {
            Some(_) => Urgency::Urgent,
            None => Urgency::Patient,
        }
    }
}
