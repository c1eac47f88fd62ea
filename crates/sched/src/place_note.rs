//! What instances report to the scheduler.

use {
    crate::{HeldStream, PlaceKey},
    kernel::UpstreamId,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMicroSeconds, serde_as},
    std::time::Duration,
};

/// A report of one instance.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlaceNote {
    /// The first event of a stream arrived.
    Began(PlaceKey),
    /// A stream ended, whole or not.
    Ended {
        /// Events received.
        events: u64,
        /// Whether the answer is complete, so that its length tells something about others.
        is_whole: bool,
        /// The attempt.
        key: PlaceKey,
    },
    /// The instance holds this place, by a grant of another scheduler or its own choice. Known places are corrected.
    Holds(HeldStream),
    /// The caller left, or the request took another way, before it got a place.
    Left(PlaceKey),
    /// A prefill ended.
    Prefilled {
        /// The prefill engine.
        engine: UpstreamId,
        /// The attempt.
        key: PlaceKey,
        /// How long it took, waiting included; `None` when it failed.
        #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
        took: Option<Duration>,
    },
    /// The engine refused the place of a grant.
    Rejected(PlaceKey),
    /// A granted place was given back unused.
    Released(PlaceKey),
}
