//! Whom an instance tells of its customers' use.

use {
    super::ReaderElection,
    kernel::{InstanceId, ZoneId},
    std::time::Instant,
};

/// The instances that one tells of its use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsagePeers {
    /// The one of the own zone; none for the first itself.
    pub aggregator: Option<InstanceId>,
    /// The other zones with the first instance of each, if one is_responsive.
    pub zones: Vec<(ZoneId, Option<InstanceId>)>,
}

impl ReaderElection {
    /// Whom to tell of use: the first before this instance that is_responsive and does not rest, or else the first ones of other zones.
    pub fn usage_peers(
        &self,
        now: Instant,
        is_cooling_down: impl Fn(&InstanceId) -> bool,
    ) -> UsagePeers {
        // One that the store does not answer can add up all the same.
        let is_asked =
            |member: &&InstanceId| self.is_responsive(member, now) && !is_cooling_down(member);
        let before = self.ranked.iter().take_while(|member| **member != self.own);
        let other_zones = self.other_zones.iter().map(|(zone, ranked)| {
            let first = ranked.iter().find(is_asked);
            (zone.clone(), first.cloned())
        });
        UsagePeers {
            aggregator: before.clone().find(is_asked).cloned(),
            zones: other_zones.collect(),
        }
    }
}
