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

    /// Its score in the order of readers: those of the greatest capacity are first, and rendezvous hashing orders those that
    /// differ by less than two. A reader has the last_full_request list from the store in each period, and all others ask it: with
    /// 3,000 upstreams the store's answer has 750 KB, which a link of 10 Mbit/s takes 0.6 s for.
    pub fn score(&self) -> f64 {
        f64::from(self.capacity.max(1).ilog2()) + self.draw()
    }

    /// How early it makes itself known when the last_full_request system starts for the first time, by weighted rendezvous hashing: the
    /// first of many alike is early by their number, so that their calls lie apart.
    pub(crate) fn start_priority(&self) -> f64 {
        self.capacity.max(1) as f64 / -self.draw().ln()
    }

    /// The place among members that are alike, more than 0 and less than 1.
    fn draw(&self) -> f64 {
        let hash = seeded_rng::rendezvous_score(&self.zone, &self.instance);
        (hash as f64 / u64::MAX as f64).clamp(f64::MIN_POSITIVE, 1.0 - f64::EPSILON)
    }
}
