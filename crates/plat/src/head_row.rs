//! The head row of the table in the platform.

use {
    crate::edit_record::EditId,
    kernel::{TableDigest, TableVersion},
    serde::{Deserialize, Serialize},
    table::TableHead,
};

/// What the head row has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadRow {
    /// The digest of rows, removals and stamps.
    pub digest: TableDigest,
    /// The edit that made the version.
    pub edit: EditId,
    /// The version.
    pub version: TableVersion,
}

impl HeadRow {
    /// The head as instances know it.
    pub fn head(&self) -> TableHead {
        TableHead {
            digest: self.digest,
            version: self.version,
        }
    }
}
