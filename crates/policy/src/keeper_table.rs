//! Which instances keep the software version at which a stream began.
//!
//! In each availability zone a fixed number of instances are keepers, however many there are, so that an instance has links
//! to few others. The keepers of a stream are chosen among them by rendezvous hashing, so that every instance finds them.

use {
    crate::{FleetMembers, StreamKey},
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// How many instances of a zone are keepers.
const KEEPERS_PER_ZONE: usize = 8;
/// How many keepers of the own zone are told of a stream.
const TOLD_NEAR: usize = 2;
/// How many keepers of the own zone are asked. One more than are told: the instance that began the stream may be a keeper
/// itself.
const ASKED_NEAR: usize = TOLD_NEAR + 1;

/// The keepers of each availability zone, as seen from one instance.
#[derive(Clone, Debug)]
pub struct KeeperTable {
    instance: InstanceId,
    keepers: BTreeMap<ZoneId, Vec<InstanceId>>,
    zone: ZoneId,
}

impl KeeperTable {
    /// The instances to ask for a stream: keepers of the own zone, and one of each other zone.
    pub fn asked(&self, stream: StreamKey) -> Vec<InstanceId> {
        let mut asked = self.keepers_of(stream, &self.zone, ASKED_NEAR);
        for zone in self.other_zones() {
            asked.extend(self.keepers_of(stream, zone, 1));
        }
        asked
    }

    /// The keepers that an instance of `zone` finds among the members of a fleet.
    pub fn new(instance: InstanceId, zone: ZoneId, fleet: &FleetMembers) -> Self {
        let mut keepers: BTreeMap<ZoneId, Vec<InstanceId>> = BTreeMap::new();
        for member in fleet.iter() {
            let members = keepers.entry(member.zone.clone()).or_default();
            members.push(member.instance.clone());
        }
        for (zone, members) in &mut keepers {
            let score = |member: &InstanceId| seeded_rng::rendezvous_score(zone, member);
            members.sort_by_cached_key(|member| Reverse(score(member)));
            members.truncate(KEEPERS_PER_ZONE);
        }
        Self {
            instance,
            keepers,
            zone,
        }
    }

    /// The instances to tell of a stream: keepers of the own zone, and one of another zone in case the own one is lost.
    pub fn told(&self, stream: StreamKey) -> Vec<InstanceId> {
        let mut told = self.keepers_of(stream, &self.zone, TOLD_NEAR);
        if let Some(zone) = seeded_rng::rendezvous(&self.zone, self.other_zones()) {
            told.extend(self.keepers_of(stream, zone, 1));
        }
        told
    }

    /// The instances that read the streams of a shard from the store for the own zone, best first.
    pub fn readers(&self, shard: u64) -> Vec<InstanceId> {
        let mut readers = self.writers();
        readers.sort_by_cached_key(|keeper| Reverse(seeded_rng::mix(shard, keeper.as_bytes())));
        readers
    }

    /// The instances that write the streams of the own zone to the store, best first; one does unless it can't be reached.
    pub fn writers(&self) -> Vec<InstanceId> {
        self.keepers.get(&self.zone).cloned().unwrap_or_default()
    }

    /// The first keepers of a stream in a zone, without this instance.
    fn keepers_of(&self, stream: StreamKey, zone: &ZoneId, count: usize) -> Vec<InstanceId> {
        let keepers = self.keepers.get(zone).into_iter().flatten();
        let mut keepers: Vec<_> = keepers.filter(|keeper| **keeper != self.instance).collect();
        keepers.sort_by_cached_key(|keeper| Reverse(seeded_rng::mix(stream, keeper.as_bytes())));
        keepers.into_iter().take(count).cloned().collect()
    }

    fn other_zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.keepers.keys().filter(|zone| **zone != self.zone)
    }
}
