//! A place that the scheduler gave, or that an instance announced.

use {
    crate::{PlaceGrant, StreamNeed},
    kernel::{InstanceId, WorkId},
    std::time::Instant,
};

/// A place in use.
#[derive(Clone, Debug)]
pub(crate) struct GrantedPlace {
    /// What was granted.
    pub(crate) grant: PlaceGrant,
    /// Whether the first event arrived.
    pub(crate) has_begun: bool,
    /// When an instance last reported on it.
    pub(crate) heard_at: Instant,
    /// The instance that holds it.
    pub(crate) instance: InstanceId,
    /// Its size.
    pub(crate) need: StreamNeed,
    /// The row of the table.
    pub(crate) work: WorkId,
}
