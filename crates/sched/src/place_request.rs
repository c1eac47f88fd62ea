//! A request for a decode place.

use {
    crate::{PlaceKey, StreamNeed, TurnKey},
    kernel::{CustomerId, SoftwareVersion, UpstreamId, WorkId},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMicroSeconds, serde_as},
    std::time::Duration,
    table::Rank,
};

/// Asks for a place at a decode engine. Clocks of instances differ, so times are spans.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlaceRequest {
    /// Engines that must not be chosen, since they refused this request.
    pub avoid: Vec<UpstreamId>,
    /// The customer, between whom places are shared fairly; `None` where none are declared.
    pub customer: Option<CustomerId>,
    /// How long the caller waits for the first event.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub first_event_left: Duration,
    /// Engines that hold the KV cache of the prompt.
    pub holders: Vec<UpstreamId>,
    /// Whether the instance is in another availability zone. Such a request gets a place at once or not at all.
    pub is_foreign: bool,
    /// The attempt.
    pub key: PlaceKey,
    /// How long the caller waits for the end of the answer.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub left: Duration,
    /// Its size.
    pub need: StreamNeed,
    /// Lower ranks go first.
    pub rank: Rank,
    /// The software version that the stream has to go on at; `None` for any.
    pub software: Option<SoftwareVersion>,
    /// The time left until the target of the first event; zero when it has passed.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub target_left: Duration,
    /// The request over all attempts of its caller; `None` when it can't be recognised.
    pub turn: Option<TurnKey>,
    /// The row of the table.
    pub work: WorkId,
}
