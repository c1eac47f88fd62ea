//! The instances that share what all of them together may do.

use {
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::cmp::Reverse,
};

/// One instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetMember {
    /// Its capacity relative to other instances; 0 counts as 1.
    pub capacity: u64,
    /// The name of the instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// The instances of all availability zones, as far as one of them knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetMembers {
    members: Vec<FleetMember>,
}

impl FleetMembers {
    /// The instance that carries a role for its availability zone, of those that are not `excluded`: greater capacity comes
    /// first, and rendezvous hashing by `key` orders instances whose capacities differ by less than a factor of two. Roles
    /// with different keys so spread over the strongest instances.
    pub fn carrier(
        &self,
        zone: &ZoneId,
        key: &str,
        excluded: impl Fn(&InstanceId) -> bool,
    ) -> Option<&InstanceId> {
        let members = self.members.iter();
        let candidates =
            members.filter(|member| member.zone == *zone && !excluded(&member.instance));
        let first = candidates.max_by_key(|member| {
            let score = seeded_rng::rendezvous_score(key, &member.instance);
            (member.capacity.max(1).ilog2(), score, &member.instance)
        });
        first.map(|member| &member.instance)
    }

    /// The number of instances.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// The number of instances of an availability zone.
    pub fn count_in(&self, zone: &ZoneId) -> usize {
        let members = self.members.iter();
        members.filter(|member| member.zone == *zone).count()
    }

    /// The instances, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.iter()
    }

    /// A set of instances.
    pub fn new(members: Vec<FleetMember>) -> Self {
        Self { members }
    }

    /// The position of an instance in the order in which instances call an upstream of `zone`: those of its zone first,
    /// each zone by rendezvous hashing. `None` for an instance that is not known.
    pub fn position(&self, instance: &InstanceId, upstream: &str, zone: &ZoneId) -> Option<usize> {
        let rank = |member: &FleetMember| {
            let score = seeded_rng::rendezvous_score(upstream, &member.instance);
            (member.zone != *zone, Reverse(score))
        };
        let own = self
            .members
            .iter()
            .find(|member| member.instance == *instance)?;
        let own_rank = rank(own);
        let ahead = self.members.iter().filter(|member| rank(member) < own_rank);
        Some(ahead.count())
    }
}
