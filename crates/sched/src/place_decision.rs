//! A decision on a request that waited.

use {
    crate::{PlaceKey, PlaceReply},
    kernel::InstanceId,
};

/// The reply that an instance gets for a request that it has queued.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceDecision {
    /// The instance that serves the request.
    pub instance: InstanceId,
    /// The attempt.
    pub key: PlaceKey,
    /// What was decided.
    pub reply: PlaceReply,
}
