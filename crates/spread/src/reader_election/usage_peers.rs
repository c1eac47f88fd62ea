//! Selects the instances that usage of customers is reported to.

use {
    super::ReaderElection,
    kernel::{InstanceId, ZoneId},
    std::time::Instant,
};

/// The instances that one instance reports usage to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsagePeers {
    /// Aggregator of the own zone; `None` if it is this instance.
    pub aggregator: Option<InstanceId>,
    /// The other zones with the aggregator of each, if one is available.
    pub zones: Vec<(ZoneId, Option<InstanceId>)>,
}

impl ReaderElection {
    /// Selects the aggregator of the own zone: the first instance before this one that answers and
    /// is not cooling down. Without one, this instance is the aggregator and reports to those of
    /// the other zones.
    pub fn usage_peers(
        &self,
        now: Instant,
        is_cooling_down: impl Fn(&InstanceId) -> bool,
    ) -> UsagePeers {
        // An instance that the store does not answer can still aggregate usage.
        let is_candidate =
            |member: &&InstanceId| self.is_responsive(member, now) && !is_cooling_down(member);
        let before = self.ranked.iter().take_while(|member| **member != self.own);
        let other_zones = self.other_zones.iter().map(|(zone, ranked)| {
            let aggregator = ranked.iter().find(is_candidate);
            (zone.clone(), aggregator.cloned())
        });
        UsagePeers {
            aggregator: before.clone().find(is_candidate).cloned(),
            zones: other_zones.collect(),
        }
    }
}
