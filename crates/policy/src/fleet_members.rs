//! The instances that share what all of them together may do.

use {
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::cmp::Reverse,
};

/// With fewer instances of the greatest capacity, weaker ones share the roles of an availability zone with them.
const MIN_CARRIERS: usize = 3;

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

impl FleetMember {
    /// Its capacity by powers of two.
    fn class(&self) -> u32 {
        self.capacity.max(1).ilog2()
    }

    /// Its score for a role: over many roles each of several instances is first for a share by its capacity.
    fn share_score(&self, key: &str) -> f64 {
        let score = seeded_rng::rendezvous_score(key, &self.instance);
        // The upper 52 bits, as a number between 0 and 1 that is neither.
        let uniform = ((score >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
        self.capacity.max(1) as f64 / -uniform.ln()
    }
}

/// The instances of all availability zones, as far as one of them knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetMembers {
    members: Vec<FleetMember>,
}

impl FleetMembers {
    /// The instance that carries a role for its availability zone, of those that are not `excluded`: one of the strongest
    /// by rendezvous hashing with `key`, weighted by capacity, so that each of them carries its share of many roles. The
    /// strongest are those of the greatest capacity by powers of two, and of the next ones until there are enough to share
    /// them. Others carry a role only when all of these are excluded.
    pub fn carrier(
        &self,
        zone: &ZoneId,
        key: &str,
        excluded: impl Fn(&InstanceId) -> bool,
    ) -> Option<&InstanceId> {
        let members = self.members.iter().filter(|member| member.zone == *zone);
        let mut classes: Vec<u32> = members.clone().map(FleetMember::class).collect();
        classes.sort_unstable_by_key(|class| Reverse(*class));
        let least = classes.get(MIN_CARRIERS - 1).or(classes.last()).copied();
        let mut first = None;
        for member in members {
            if excluded(&member.instance) {
                continue;
            }
            let class = member.class();
            // The strongest are one class, before all others.
            let class = match Some(class) >= least {
                true => u32::MAX,
                false => class,
            };
            let rank = (class, member.share_score(key), &member.instance);
            if first.as_ref().is_none_or(|best| rank > *best) {
                first = Some(rank);
            }
        }
        first.map(|(_, _, instance)| instance)
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
