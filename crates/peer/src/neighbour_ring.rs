//! Which instances exchange heartbeats.
//!
//! While all fit into the limit, everyone hears everyone. A larger zone is a ring by hash with chords: each instance
//! links to those at a few distances both ways, so a link is seen alike from its two ends, and news crosses the zone in
//! a few steps. Each two zones have a few links of their own.

use {
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::collections::{BTreeMap, BTreeSet},
};

const RING_SEED: u64 = 0x7472_6573;

/// How many links there may be.
#[derive(Clone, Copy, Debug)]
pub struct RingLimits {
    /// How many neighbours in its own zone an instance has.
    pub neighbours: usize,
    /// How many instances at each end carry the links between two zones.
    pub zone_links: usize,
}

/// The live instances of all zones, and what an instance's place among them is.
#[derive(Clone, Debug, Default)]
pub struct NeighbourRing {
    relays: BTreeMap<ZoneId, Vec<InstanceId>>,
    zones: BTreeMap<ZoneId, Vec<InstanceId>>,
}

impl NeighbourRing {
    /// Adds an instance. One that is suspected may not carry the links between zones.
    pub fn add(&mut self, zone: ZoneId, instance: InstanceId, can_relay: bool) {
        if can_relay {
            let relays = self.relays.entry(zone.clone()).or_default();
            relays.push(instance.clone());
        }
        self.zones.entry(zone).or_default().push(instance);
    }

    /// The neighbours of an instance.
    pub fn neighbours(
        &self,
        zone: &ZoneId,
        instance: &InstanceId,
        limits: RingLimits,
    ) -> BTreeSet<InstanceId> {
        let total: usize = self.zones.values().map(Vec::len).sum();
        if total <= limits.neighbours + 1 {
            return self.everyone(instance);
        }
        let mut neighbours = self.zone_neighbours(zone, instance, limits.neighbours);
        for (other, members) in &self.relays {
            if other == zone {
                continue;
            }
            let key = pair_key(zone, other);
            let ours = self.relays.get(zone).map(Vec::as_slice).unwrap_or_default();
            let relays = top(&key, ours, limits.zone_links);
            if !relays.contains(instance) {
                continue;
            }
            neighbours.extend(top(&key, members, limits.zone_links));
        }
        neighbours
    }

    fn everyone(&self, instance: &InstanceId) -> BTreeSet<InstanceId> {
        let mut everyone: BTreeSet<InstanceId> = self.zones.values().flatten().cloned().collect();
        everyone.remove(instance);
        everyone
    }

    fn zone_neighbours(
        &self,
        zone: &ZoneId,
        instance: &InstanceId,
        limit: usize,
    ) -> BTreeSet<InstanceId> {
        let mut ring = self.zones.get(zone).cloned().unwrap_or_default();
        ring.sort_by_cached_key(|member| {
            (
                seeded_rng::mix(RING_SEED, member.as_bytes()),
                member.clone(),
            )
        });
        let count = ring.len();
        let Some(place) = ring.iter().position(|member| member == instance) else {
            return BTreeSet::new();
        };
        let mut neighbours = BTreeSet::new();
        for distance in distances(count, limit) {
            neighbours.insert(ring[(place + distance) % count].clone());
            neighbours.insert(ring[(place + count - distance) % count].clone());
        }
        neighbours.remove(instance);
        neighbours
    }
}

/// The distances at which an instance of a ring links forwards and backwards.
pub fn distances(count: usize, limit: usize) -> Vec<usize> {
    if count <= limit + 1 {
        return (1..count).collect();
    }
    let chords = (limit / 2).max(1);
    let mut distances = BTreeSet::new();
    for chord in 0..chords {
        let power = chord as f64 / chords as f64;
        let distance = (count as f64).powf(power).round() as usize;
        distances.insert(distance.max(chord + 1));
    }
    distances.into_iter().collect()
}

fn pair_key(left: &ZoneId, right: &ZoneId) -> String {
    let (first, second) = if left < right {
        (left, right)
    } else {
        (right, left)
    };
    format!("{first} {second}")
}

fn top(key: &str, members: &[InstanceId], count: usize) -> Vec<InstanceId> {
    let mut members = members.to_vec();
    members.sort_by_cached_key(|member| {
        let score = seeded_rng::rendezvous_score(key, member);
        (std::cmp::Reverse(score), member.clone())
    });
    members.truncate(count);
    members
}
