//! The settings of the request path.

use {
    kernel::{InstanceId, RegionId, ZoneId},
    policy::{QuotaRule, RetryBounds, ZoneFilter},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The settings of the request path.
#[derive(Clone, Debug, bon::Builder)]
pub struct RelaySettings {
    /// The memory for all bodies that wait for slow readers, bytes.
    pub buffer_bytes: usize,
    /// Timeout for connecting to an upstream.
    pub connect_timeout: Duration,
    /// The name of this instance.
    pub instance: InstanceId,
    /// Whether this is the only instance, which then has the whole of every shared budget.
    pub is_alone: bool,
    /// How long a crash of an upstream counts against the requests that it was running.
    pub quarantine: Duration,
    /// How far customers may exceed their limits because instances learn of each other's use with a delay.
    pub quotas: QuotaRule,
    /// Whether prompts are prefilled by separate prefill engines, or by the decode engine that runs the request.
    pub has_separate_prefill: bool,
    /// The region of each availability zone; empty when unknown.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// The number of engines of a service in one availability zone from which on their places are scheduled.
    pub scheduled_engines: usize,
    /// The retry budget of all instances together.
    pub retries: RetryBounds,
    /// The time within which a revoked key is refused everywhere, even by instances that are cut off from the store;
    /// `None` lets those continue with the keys they know.
    pub revoked_within: Option<Duration>,
    /// How long a peer may be silent before its connection counts as lost.
    pub peer_timeout: Duration,
    /// The availability zone of this instance.
    pub zone: ZoneId,
    /// The number of availability zones with instances.
    pub zones: usize,
}

impl RelaySettings {
    /// Whether an availability zone is certainly none of this deployment.
    pub fn is_zone_unknown(&self, zone: &ZoneId) -> bool {
        !self.regions.is_empty() && !self.regions.contains_key(zone)
    }

    /// The availability zones that all of several restrictions to regions allow.
    pub fn zone_filter<const N: usize>(
        &self,
        restrictions: [Option<&BTreeSet<RegionId>>; N],
    ) -> ZoneFilter {
        let mut filter = ZoneFilter::default();
        for regions in restrictions.into_iter().flatten() {
            filter.restrict(regions, &self.regions);
        }
        filter
    }
}
