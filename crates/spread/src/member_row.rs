//! How an instance makes itself known to the others.

use {
    kernel::{InstanceId, ZoneId, seeded_rng},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The seed of the digest over members.
const DIGEST_SEED: u64 = 4;

/// One instance, whichever of its lives runs.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberRow {
    /// Where it answers, UDP.
    pub address: SocketAddr,
    /// What it can carry, in proportion to others; 0 counts as 1.
    #[serde(default)]
    pub capacity: u64,
    /// Its name.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
}

impl MemberRow {
    /// Tells one set of members from another, whatever their order.
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

    /// Its score in the order of readers, by weighted rendezvous hashing: a member is the first of its zone in proportion to
    /// what it can carry. A whole list is too much for the smallest instances at the size of some thousand upstreams.
    pub fn score(&self) -> f64 {
        let draw =
            seeded_rng::rendezvous_score(&self.zone, &self.instance) as f64 / u64::MAX as f64;
        let draw = draw.clamp(f64::MIN_POSITIVE, 1.0 - f64::EPSILON);
        self.capacity.max(1) as f64 / -draw.ln()
    }
}
