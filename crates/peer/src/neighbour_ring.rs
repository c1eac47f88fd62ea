//! Chooses which instances exchange heartbeats.
//!
//! While all members fit into the limit, they form a full mesh. A larger zone is a hash ring with chords: each instance
//! links to those at a few distances in both directions, so links are symmetric and updates cross the zone in a few
//! hops. Each pair of zones is linked by a few relays.

use {
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::collections::{BTreeMap, BTreeSet},
};

const RING_SEED: u64 = 0x7472_6573;

/// The bounds for the number of links.
#[derive(Clone, Copy, Debug)]
pub struct RingLimits {
    /// The number of neighbours of an instance in its own zone.
    pub neighbours: usize,
    /// How many instances in each of two zones link them to each other.
    pub zone_links: usize,
}

/// The live instances of all zones, and those of them that may link zones.
#[derive(Clone, Debug, Default)]
pub struct NeighbourRing {
    relays: BTreeMap<ZoneId, Vec<InstanceId>>,
    zones: BTreeMap<ZoneId, Vec<InstanceId>>,
}

impl NeighbourRing {
    /// Adds an instance. A suspected instance may not link zones.
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
            return self.full_mesh(instance);
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

    fn full_mesh(&self, instance: &InstanceId) -> BTreeSet<InstanceId> {
        let mut others: BTreeSet<InstanceId> = self.zones.values().flatten().cloned().collect();
        others.remove(instance);
        others
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
        let Some(position) = ring.iter().position(|member| member == instance) else {
            return BTreeSet::new();
        };
        let mut neighbours = BTreeSet::new();
        for distance in distances(count, limit) {
            neighbours.insert(ring[(position + distance) % count].clone());
            neighbours.insert(ring[(position + count - distance) % count].clone());
        }
        neighbours.remove(instance);
        neighbours
    }
}

/// The ring distances at which an instance links in both directions; they grow geometrically in larger rings.
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
