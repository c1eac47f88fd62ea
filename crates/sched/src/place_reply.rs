//! The answer to a request for a decode place.

use {
    crate::PlaceGrant,
    kernel::ZoneId,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMicroSeconds, serde_as},
    std::time::Duration,
};

/// What the scheduler decided.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlaceReply {
    /// A place.
    Granted(PlaceGrant),
    /// The request keeps its position in the queue and asks again.
    Queued,
    /// No place comes in time.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When a place is expected for the turn of this request.
        #[serde_as(as = "DurationMicroSeconds<u64>")]
        retry_after: Duration,
    },
    /// Another availability zone has room.
    Elsewhere(ZoneId),
    /// The scheduler knows no engines yet, so the instance decides by itself.
    Unknown,
}

/// Why a request got no place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// A place is expected too late for the request.
    Late,
    /// The request is larger than the memory of any engine.
    Oversized,
}
