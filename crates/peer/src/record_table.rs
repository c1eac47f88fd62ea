//! The records of all members, with a digest for each availability zone.

use {
    crate::member_record::MemberRecord,
    kernel::{InstanceId, ZoneId, seeded_rng},
    std::collections::BTreeMap,
};

/// Holds the newest record of each member. The digests cover the members that are not dead.
#[derive(Clone, Debug, Default)]
pub struct RecordTable {
    digests: BTreeMap<ZoneId, u64>,
    records: BTreeMap<InstanceId, MemberRecord>,
}

impl RecordTable {
    /// All records, ordered by name.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// The digest of all zones.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for (zone, part) in &self.digests {
            digest ^= seeded_rng::mix(*part, zone.as_bytes());
        }
        digest
    }

    /// The record of one member.
    pub fn get(&self, instance: &str) -> Option<&MemberRecord> {
        self.records.get(instance)
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The records of the members that are not dead.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().filter(|record| !record.is_dead())
    }

    /// Stores a record and returns the one that it replaces.
    pub fn put(&mut self, record: MemberRecord) -> Option<MemberRecord> {
        self.add_digest(&record);
        let old = self.records.insert(record.instance.clone(), record);
        if let Some(old) = &old {
            self.add_digest(old);
        }
        old
    }

    /// Removes a member.
    pub fn remove(&mut self, instance: &str) {
        let Some(old) = self.records.remove(instance) else {
            return;
        };
        self.add_digest(&old);
    }

    /// The digest of one zone.
    pub fn zone_digest(&self, zone: &str) -> u64 {
        self.digests.get(zone).copied().unwrap_or_default()
    }

    /// The digests of the zones that have live members.
    pub fn zone_digests(&self) -> Vec<(ZoneId, u64)> {
        self.digests
            .iter()
            .map(|(zone, digest)| (zone.clone(), *digest))
            .collect()
    }

    /// Combines a record into its zone's digest by XOR; adding the same record twice removes it.
    fn add_digest(&mut self, record: &MemberRecord) {
        if record.is_dead() {
            return;
        }
        let digest = self.digests.entry(record.zone.clone()).or_default();
        *digest ^= record.digest();
        if *digest == 0 {
            self.digests.remove(&record.zone);
        }
    }
}
