//! A place that an instance holds, as it announces it to a scheduler.

use {
    crate::{PlaceKey, StreamNeed},
    kernel::{CustomerId, UpstreamId, WorkId},
    serde::{Deserialize, Serialize},
};

/// A granted place or a running stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeldStream {
    /// The customer; `None` where none are declared.
    pub customer: Option<CustomerId>,
    /// The decode engine.
    pub engine: UpstreamId,
    /// Events received so far; `None` before the first one.
    pub events: Option<u64>,
    /// The attempt.
    pub key: PlaceKey,
    /// Its size.
    pub need: StreamNeed,
    /// The row of the table.
    pub work: WorkId,
}
