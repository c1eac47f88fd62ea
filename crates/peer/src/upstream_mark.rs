//! A mark on an upstream that takes no new work.

use {
    kernel::{Incarnation, InstanceId, UpstreamId},
    route::load_report::LeavingCause,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// One instance's observation that an upstream takes no new work.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamMark {
    /// How long ago the instance observed it, at the time of sending; whole milliseconds on the wire.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The instance that observed it.
    pub by: InstanceId,
    /// The reason; `None` withdraws the instance's earlier mark.
    pub cause: Option<LeavingCause>,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// Rises with each mark of that incarnation; a later mark on the same upstream replaces an earlier one.
    pub serial: u32,
    /// The upstream.
    pub upstream: UpstreamId,
}

impl UpstreamMark {
    /// A hash that identifies this mark.
    pub fn digest(&self) -> u64 {
        let seed = self.incarnation ^ (u64::from(self.serial) << 40);
        let seed = kernel::seeded_rng::mix(seed, self.by.as_bytes());
        kernel::seeded_rng::mix(seed, self.upstream.as_bytes())
    }

    /// Whether this mark is newer than another one of the same instance on the same upstream.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.serial) > (other.incarnation, other.serial)
    }
}
