//! What the store says of the instances.

use {
    crate::MemberRow,
    kernel::ZoneId,
    plat::StoredRow,
    std::{collections::BTreeMap, sync::Arc},
};

/// The key of the row with the private key that signs the instances' certificates.
pub(crate) const AUTHORITY_KEY: &str = "peers/authority";
/// What all keys of the directory begin with.
pub(crate) const DIRECTORY_PREFIX: &str = "peers/";
/// What the keys of the members of a zone begin with.
const ZONE_PREFIX: &str = "peers/zone/";

/// One reading of the directory.
#[derive(Clone, Debug, Default)]
pub struct DirectoryView {
    /// The private key that signs the instances' certificates, PEM; none before the first instance ever.
    pub authority: Option<Arc<str>>,
    versions: BTreeMap<Arc<str>, u64>,
    /// The members by availability zone.
    pub zones: BTreeMap<ZoneId, Vec<MemberRow>>,
}

impl DirectoryView {
    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &MemberRow> {
        self.zones.values().flatten()
    }

    /// Reads rows. One that can't be read counts as not there, so that the next write of it replaces it.
    pub fn new(rows: &[StoredRow]) -> Self {
        let mut view = Self::default();
        for row in rows {
            view.take(row);
        }
        view
    }

    /// The version of a row; 0 for one that is not there.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Takes a row in, in place of an earlier reading of it.
    pub fn take(&mut self, row: &StoredRow) {
        self.versions.insert(row.key.clone(), row.version);
        if &*row.key == AUTHORITY_KEY {
            self.authority = Some(row.value.clone());
            return;
        }
        let Some(zone) = row.key.strip_prefix(ZONE_PREFIX) else {
            return;
        };
        match serde_json::from_str::<Vec<MemberRow>>(&row.value) {
            Ok(members) => {
                self.zones.insert(zone.into(), members);
            }
            Err(error) => tracing::warn!(key = %row.key, %error, "members can't be read"),
        }
    }
}

/// The key of the members of a zone.
pub(crate) fn zone_key(zone: &ZoneId) -> Arc<str> {
    format!("{ZONE_PREFIX}{zone}").into()
}
