//! The content of a list of upstreams, as digests of its parts. No I/O and no clock.

use {
    kernel::{UpstreamId, seeded_rng},
    policy::UpstreamRecord,
};

/// How many parts a list has. With 3,000 upstreams a part has some 12 rows, 0.7 KB; the digests of all take 2 KB.
pub const LIST_PARTS: usize = 256;
/// The seeds of the part that a row belongs to, and of the digest of a row.
const PART_SEED: u64 = 21;
const ROW_SEED: u64 = 22;

/// A part of a list by its number.
pub type PartNumber = u8;

/// The digest of each part: the sum over its rows, whatever their order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListDigest {
    parts: Vec<u64>,
}

impl ListDigest {
    /// A row joins the list.
    pub fn add(&mut self, record: &UpstreamRecord) {
        let part = self.part_mut(&record.id);
        *part = part.wrapping_add(row_digest(record));
    }

    /// The digest of each part, by its number.
    pub fn parts(&self) -> &[u64] {
        &self.parts
    }

    /// A row leaves the list.
    pub fn remove(&mut self, record: &UpstreamRecord) {
        let part = self.part_mut(&record.id);
        *part = part.wrapping_sub(row_digest(record));
    }

    fn part_mut(&mut self, id: &UpstreamId) -> &mut u64 {
        &mut self.parts[usize::from(part_of(id))]
    }
}

impl Default for ListDigest {
    /// The digest of an empty list.
    fn default() -> Self {
        Self {
            parts: vec![0; LIST_PARTS],
        }
    }
}

/// The part that an upstream belongs to.
pub fn part_of(id: &UpstreamId) -> PartNumber {
    // There are as many parts as the lowest byte has values.
    seeded_rng::mix(PART_SEED, id.as_bytes()).to_le_bytes()[0]
}

fn row_digest(record: &UpstreamRecord) -> u64 {
    // Texts, numbers and addresses always have a binary form.
    let row = postcard::to_stdvec(record).unwrap_or_default();
    seeded_rng::mix(ROW_SEED, &row)
}
