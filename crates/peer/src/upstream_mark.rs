//! A mark on an upstream: it takes no new work.

use {
    kernel::{Incarnation, InstanceId, UpstreamId},
    route::load_report::LeavingCause,
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
    std::time::Duration,
};

/// One instance's word on one upstream.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamMark {
    /// How long ago the instance saw it, as it travels; whole milliseconds on the wire.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// The instance that saw it.
    pub by: InstanceId,
    /// Why; none takes the instance's earlier mark back.
    pub cause: Option<LeavingCause>,
    /// The life of that instance.
    pub incarnation: Incarnation,
    /// Counts the marks of that life; a later mark on the same upstream replaces an earlier one.
    pub serial: u32,
    /// The upstream.
    pub upstream: UpstreamId,
}

impl UpstreamMark {
    /// A number that names this mark.
    pub fn digest(&self) -> u64 {
        let seed = self.incarnation ^ (u64::from(self.serial) << 40);
        let seed = kernel::seeded_rng::mix(seed, self.by.as_bytes());
        kernel::seeded_rng::mix(seed, self.upstream.as_bytes())
    }

    /// Whether it replaces another mark of the same instance on the same upstream.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.serial) > (other.incarnation, other.serial)
    }
}
