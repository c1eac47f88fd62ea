//! A view of the directory of instances.

use {
    crate::MemberRow,
    kernel::ZoneId,
    plat::StoredRow,
    policy::SoftwareMemory,
    std::{collections::BTreeMap, sync::Arc},
};

/// Key of the row with the private key that signs the instances' certificates.
pub(crate) const AUTHORITY_KEY: &str = "peers/authority";
/// Prefix of all keys of the directory.
pub(crate) const DIRECTORY_PREFIX: &str = "peers/";
/// Key of the row with the software versions of each service.
pub(crate) const SOFTWARE_KEY: &str = "peers/software";
/// Prefix of the keys of zone rows.
const ZONE_PREFIX: &str = "peers/zone/";

/// The directory as it was last read.
#[derive(Clone, Debug, Default)]
pub struct DirectoryView {
    /// The private key that signs the instances' certificates, PEM; `None` until the very first
    /// instance has written it.
    pub authority: Option<Arc<str>>,
    /// The software versions to write along with the members, if they differ.
    pub draft: Option<SoftwareMemory>,
    /// The software versions of each service; `None` if there is no such row.
    pub software: Option<SoftwareMemory>,
    versions: BTreeMap<Arc<str>, u64>,
    /// Members by availability zone.
    pub zones: BTreeMap<ZoneId, Vec<MemberRow>>,
}

impl DirectoryView {
    /// Members of all zones.
    pub fn members(&self) -> impl Iterator<Item = &MemberRow> {
        self.zones.values().flatten()
    }

    /// Builds a view from rows. An invalid row counts as missing, so that the next write replaces
    /// it.
    pub fn new(rows: &[StoredRow]) -> Self {
        let mut view = Self::default();
        for row in rows {
            view.apply(row);
        }
        view
    }

    /// Version of a row; 0 if it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Applies a row in place of an earlier version of it.
    pub fn apply(&mut self, row: &StoredRow) {
        self.versions.insert(row.key.clone(), row.version);
        if &*row.key == AUTHORITY_KEY {
            self.authority = Some(row.value.clone());
            return;
        }
        if &*row.key == SOFTWARE_KEY {
            self.software = Some(read_software(row));
            return;
        }
        let Some(zone) = row.key.strip_prefix(ZONE_PREFIX) else {
            return;
        };
        match serde_json::from_str::<Vec<MemberRow>>(&row.value) {
            Ok(members) => {
                self.zones.insert(zone.into(), members);
            }
            Err(error) => {
                tracing::warn!(key = %row.key, %error, "failed to decode the members of a zone")
            }
        }
    }
}

/// The versions in a row. One that can't be read counts as written in an era that never is, so that it proves nothing.
pub(crate) fn read_software(row: &StoredRow) -> SoftwareMemory {
    serde_json::from_str(&row.value).unwrap_or_else(|error| {
        tracing::warn!(key = %row.key, %error, "failed to decode the software versions");
        SoftwareMemory {
            era: u64::MAX,
            ..SoftwareMemory::default()
        }
    })
}

/// Key of the row with the members of a zone.
pub(crate) fn zone_key(zone: &ZoneId) -> Arc<str> {
    format!("{ZONE_PREFIX}{zone}").into()
}
