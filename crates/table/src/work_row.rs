//! One row of the table.

use {
    crate::rank::{Rank, Urgency},
    kernel::{ModelId, ServiceId, WorkId, ZoneId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One kind of work: who goes first, how much may run at once, where it may run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkRow {
    /// The target from one token to the next; none for plain services.
    pub between_tokens: Option<Duration>,
    /// The target for the first token (the first byte for plain services). A row with one is urgent; one without is patient.
    pub first_token: Option<Duration>,
    /// How many requests may run at once over all availability zones; none is no limit.
    pub limit: Option<u32>,
    /// The model, for rows that go to model engines; none for plain services.
    pub model: Option<ModelId>,
    /// How long a request waits in the queue before it is refused as not run.
    pub patience: Duration,
    /// Lower goes first.
    pub rank: Rank,
    /// Whether a request may run twice when nobody knows whether it ran.
    pub repeat: bool,
    /// How many further tries an unsent or repeatable request gets.
    pub retries: u8,
    /// The service whose upstreams serve the row.
    pub service: ServiceId,
    /// 0 to 1: how much wasted prefill the row accepts for goodput. 0 reads only when a decode place is certain.
    pub waste: f64,
    /// The share among rows of one rank; over 0.
    pub weight: f64,
    /// The key of the row.
    pub work: WorkId,
    /// Where the row may run; empty is everywhere.
    pub zones: Vec<ZoneId>,
}

impl WorkRow {
    /// Whether the row may run in a zone.
    pub fn allows(&self, zone: &str) -> bool {
        self.zones.is_empty() || self.zones.iter().any(|allowed| &**allowed == zone)
    }

    /// Whether late is worse than refused.
    pub fn urgency(&self) -> Urgency {
        match self.first_token {
            Some(_) => Urgency::Urgent,
            None => Urgency::Patient,
        }
    }
}
