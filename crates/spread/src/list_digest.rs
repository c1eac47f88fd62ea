//! Digests of a list of upstreams, one per part, to find the parts in which two lists differ. No
//! I/O and no clock.

use {
    kernel::{UpstreamId, seeded_rng},
    policy::UpstreamRecord,
};

/// Number of parts of a list. With 3,000 upstreams a part has about 12 rows (0.7 KB), and the
/// digests of all parts take 2 KB.
pub const LIST_PARTS: usize = 256;
/// Seeds of the hashes that assign a row to a part and digest a row.
const PART_SEED: u64 = 21;
const ROW_SEED: u64 = 22;

/// Index of a part, below [`LIST_PARTS`].
pub type PartNumber = u8;

/// One digest per part: the wrapping sum of its rows' digests, so the order of rows does not
/// matter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListDigest {
    parts: Vec<u64>,
}

impl ListDigest {
    /// Adds a row.
    pub fn add(&mut self, record: &UpstreamRecord) {
        let part = self.part_mut(&record.id);
        *part = part.wrapping_add(row_digest(record));
    }

    /// Digests indexed by [`PartNumber`].
    pub fn parts(&self) -> &[u64] {
        &self.parts
    }

    /// Removes a row that was added before.
    pub fn remove(&mut self, record: &UpstreamRecord) {
        let part = self.part_mut(&record.id);
        *part = part.wrapping_sub(row_digest(record));
    }

    fn part_mut(&mut self, id: &UpstreamId) -> &mut u64 {
        &mut self.parts[usize::from(part_of(id))]
    }
}

impl Default for ListDigest {
    /// Digest of an empty list: zero for every part.
    fn default() -> Self {
        Self {
            parts: vec![0; LIST_PARTS],
        }
    }
}

/// Part that an upstream is assigned to by the hash of its id.
pub fn part_of(id: &UpstreamId) -> PartNumber {
    // The lowest byte of the hash has as many values as there are parts.
    seeded_rng::mix(PART_SEED, id.as_bytes()).to_le_bytes()[0]
}

fn row_digest(record: &UpstreamRecord) -> u64 {
    // Readers may have listed the same content at different numbers.
    let content = UpstreamRecord {
        report_number: None,
        ..record.clone()
    };
    // Strings, numbers and addresses always serialise.
    let row = postcard::to_stdvec(&content).unwrap_or_default();
    seeded_rng::mix(ROW_SEED, &row)
}
