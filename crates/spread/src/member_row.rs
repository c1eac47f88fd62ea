//! The directory entry of an instance.

use {
    kernel::{InstanceId, ZoneId, seeded_rng},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Seed of the digest of members.
const DIGEST_SEED: u64 = 4;

/// One instance, independent of its incarnation.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberRow {
    /// UDP address of the instance.
    pub address: SocketAddr,
    /// Capacity relative to other instances; 0 counts as 1.
    #[serde(default)]
    pub capacity: u64,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
}

impl MemberRow {
    /// Digest of a set of members, independent of their order.
    pub fn digest(rows: &[Self]) -> u64 {
        let mut digest = 0_u64;
        for row in rows {
            let text = format!(
                "{} {} {} {}",
                row.instance, row.address, row.capacity, row.zone
            );
            digest = digest.wrapping_add(seeded_rng::mix(DIGEST_SEED, text.as_bytes()));
        }
        digest
    }

    /// Score that orders readers, highest first. Greater capacity comes first, and rendezvous
    /// hashing orders instances whose capacities differ by less than a factor of two. A reader
    /// fetches the whole list from the store in each period and serves all others: with 3,000
    /// upstreams the store's answer has 750 KB, which takes 0.6 s on a 10 Mbit/s link.
    pub fn score(&self) -> f64 {
        f64::from(self.capacity.max(1).ilog2()) + self.hash_fraction()
    }

    /// Priority of the instance when the whole system starts for the first time, by weighted
    /// rendezvous hashing. Among similar instances the first one starts earlier the more of them
    /// there are, so that their calls are spread out.
    pub(crate) fn start_priority(&self) -> f64 {
        self.capacity.max(1) as f64 / -self.hash_fraction().ln()
    }

    /// Rendezvous hash of the instance, mapped to a number between 0 and 1, exclusive.
    fn hash_fraction(&self) -> f64 {
        let hash = seeded_rng::rendezvous_score(&self.zone, &self.instance);
        (hash as f64 / u64::MAX as f64).clamp(f64::MIN_POSITIVE, 1.0 - f64::EPSILON)
    }
}
