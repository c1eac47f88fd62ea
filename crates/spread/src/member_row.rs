//! The row by which an instance makes itself known to the others of its availability zone.

use {
    kernel::{InstanceId, seeded_rng},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// The seed of the digest over member rows.
const DIGEST_SEED: u64 = 4;

/// One life of one instance.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberRow {
    /// Where it answers, UDP.
    pub address: SocketAddr,
    /// What it can carry, in proportion to others; 0 counts as 1.
    #[serde(default)]
    pub capacity: u64,
    /// The certificate that it shows, PEM.
    pub certificate: Arc<str>,
    /// Its name.
    pub instance: InstanceId,
}

impl MemberRow {
    /// Tells one set of rows from another, whatever their order.
    pub fn digest(rows: &[Self]) -> u64 {
        let mut digest = 0_u64;
        for row in rows {
            let text = format!(
                "{} {} {} {}",
                row.instance, row.address, row.capacity, row.certificate
            );
            digest = digest.wrapping_add(seeded_rng::mix(DIGEST_SEED, text.as_bytes()));
        }
        digest
    }
}
